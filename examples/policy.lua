-- Operators' own settings; whatever is not named keeps its default.
local minutes = 60

return {
  idle_return_s = 0.5 * minutes,
  keep_idle = 1,
}
