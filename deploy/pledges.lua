-- Controllers go by one another's pledges in an outage of the state service (docs/partial-partitions.md):
--   target/release/walnuttrestle --config settings.toml --policy deploy/pledges.lua
return { pledges = 1 }
