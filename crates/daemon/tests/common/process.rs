//! Processes of a test, which end with it.

use super::wait_until;
use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
};

/// Ends the callers of a load, also when the test fails.
#[derive(Debug)]
pub struct EndOnDrop<'a>(pub &'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A process that is killed when the test ends.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
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

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success(), "{} takes {signal}", self.name);
    }

    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    pub fn wake(&self) {
        self.signal("-CONT");
    }

    pub fn kill(&mut self) {
        let _gone = self.child.kill();
        let _reaped = self.child.wait();
    }

    /// Asks for a planned stop and gives the exit code.
    pub fn stop(&mut self) -> Option<i32> {
        self.signal("-TERM");
        let mut code = None;
        wait_until("the process has stopped", || {
            code = self.child.try_wait().expect("the process can be asked");
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
