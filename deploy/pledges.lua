-- Enables silence pledges: while the state service is unavailable, controllers rely on the pledges of their peers to keep
-- renewing agent leases (docs/partial-partitions.md). Usage:
--   target/release/walnuttrestle --config settings.toml --policy deploy/pledges.lua
return { pledges = 1 }
