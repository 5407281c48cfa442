//! Child processes of a test.

use super::wait_until;
use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
};

/// Sets a stop flag when dropped, so that load threads end also when the test panics.
#[derive(Debug)]
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A daemon process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts the daemon with a log level; its log goes to `<name>.log` in `dir`.
    pub fn start(dir: &Path, name: &str, level: &str, args: &[String]) -> Self {
        let log = File::create(dir.join(format!("{name}.log"))).expect("the log can be created");
        let child = Command::new(env!("CARGO_BIN_EXE_ibissaild"))
            .args(["--log-level", level])
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        Self { name: name.to_owned(), child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success(), "{} receives {signal}", self.name);
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal("-STOP");
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }

    /// Sends SIGTERM, waits for the exit and returns the exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal("-TERM");
        let mut code = None;
        wait_until("the process has exited", || {
            code = self.child.try_wait().expect("the state of the process can be read");
            code.is_some()
        });
        code.and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
