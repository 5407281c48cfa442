//! Duration samples, resource usage of processes and a linear fit.
#![allow(dead_code, reason = "each benchmark uses a part of this module")]

use std::{fs, time::Duration};

/// Clock ticks per second (`USER_HZ`) in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Samples of one duration.
#[derive(Debug, Default)]
pub struct Samples(Vec<Duration>);

impl Samples {
    pub fn add(&mut self, sample: Duration) {
        self.0.push(sample);
    }

    /// A percentile; 100 gives the maximum.
    pub fn percentile(&mut self, percent: usize) -> Duration {
        self.0.sort_unstable();
        let last = self.0.len().saturating_sub(1);
        self.0.get(last * percent / 100).copied().unwrap_or_default()
    }

    pub fn percentile_micros(&mut self, percent: usize) -> u128 {
        self.percentile(percent).as_micros()
    }
}

/// CPU time and resident memory of a process.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    pub cpu: Duration,
    pub resident_kb: u32,
}

impl Usage {
    /// Reads the usage of a process from `/proc`; zero if it does not run.
    pub fn for_pid(pid: u32) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let field = |index| fields.split(' ').nth(index).and_then(|text| text.parse::<u64>().ok());
        let ticks = field(11).unwrap_or(0) + field(12).unwrap_or(0);
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        Self {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident_kb: resident.unwrap_or(0),
        }
    }

    pub fn resident_mb(self) -> f64 {
        f64::from(self.resident_kb) / 1024.0
    }
}

/// Bytes that the loopback interface has received since boot.
pub fn loopback_bytes() -> f64 {
    let table = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table.lines().find_map(|line| line.trim_start().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

/// Prints a table row with right-aligned cells.
pub fn print_row(cells: &[&str]) {
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>26}")).collect();
    println!("{}", cells.join(" "));
}

/// Slope and intercept of the least-squares line.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count: f64 = points.iter().map(|_| 1.0).sum();
    let x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|point| (point.0 - x) * (point.0 - x)).sum();
    let slope =
        points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum::<f64>() / sum_of_squares;
    (slope, y - slope * x)
}
