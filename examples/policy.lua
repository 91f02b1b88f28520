-- Example policy script. Settings that the returned table does not contain keep their defaults.
local minutes = 60

return {
  idle_return_s = 0.5 * minutes,
  keep_idle = 1,
}
