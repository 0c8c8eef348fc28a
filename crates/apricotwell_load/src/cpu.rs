//! CPU time of a process.

/// Clock ticks per second, `USER_HZ` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time that a process has used, in seconds, or `None` if it isn't running.
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name in parentheses may contain spaces. User and system time are the 12th and
    // 13th fields after it.
    let (_, rest) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
