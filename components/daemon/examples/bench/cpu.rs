//! CPU time and context switches of this process by thread name.

use std::{fs, ops::Sub};

/// Length of a clock tick in `/proc`, where the kernel reports 100 ticks per second.
const MICROS_PER_TICK: f64 = 10_000.0;

/// CPU time and context switches of a group of threads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// User and system CPU time in microseconds.
    pub micros: f64,
    pub switches: f64,
}

impl Usage {
    /// Returns the usage so far of the threads whose names start with `name`.
    pub fn of(name: &str) -> Self {
        let mut usage = Self::default();
        for task in fs::read_dir("/proc/self/task").unwrap().flatten() {
            let read = |file: &str| fs::read_to_string(task.path().join(file)).unwrap_or_default();
            if !read("comm").starts_with(name) {
                continue;
            }
            // Fields 14 and 15 are the user and system time. The first two fields are skipped with
            // the name in parentheses, because the name may contain spaces.
            let stat = read("stat");
            let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
            let ticks = fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok());
            usage.micros += ticks.sum::<f64>() * MICROS_PER_TICK;
            usage.switches += read("status")
                .lines()
                .filter(|line| line.contains("ctxt_switches"))
                .filter_map(|line| line.split_whitespace().last()?.parse::<f64>().ok())
                .sum::<f64>();
        }
        usage
    }
}

impl Sub for Usage {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self { micros: self.micros - other.micros, switches: self.switches - other.switches }
    }
}
