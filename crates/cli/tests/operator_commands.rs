//! Tests of the `ibissail` subcommands against a stand-in for the platform.

use async_std::{net::TcpListener, task};
use ibissail_standin::{PlatformFaults, run_platform};
use ibissail_transport::{Pool, PoolOptions, ShutdownHandle, shutdown_channel};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    thread,
    time::Duration,
};

const ROOT: &str = include_str!("../../../examples/settings/root.yaml");
const GUIDES: &str = include_str!("../../../examples/settings/guides.yaml");
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A platform stand-in and a directory of settings files.
struct TestEnvironment {
    dir: PathBuf,
    platform: SocketAddr,
    _stop: ShutdownHandle,
}

/// Starts a platform stand-in and writes the example settings to an empty directory.
fn start_environment(test: &str) -> TestEnvironment {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _absent = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("the directory can be created");
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let platform = listener.local_addr().expect("an address");
    let (handle, stop) = shutdown_channel();
    task::spawn(run_platform(listener, stop));
    let env = TestEnvironment { dir, platform, _stop: handle };
    env.write("root.yaml", ROOT);
    env.write("guides.yaml", GUIDES);
    env
}

impl TestEnvironment {
    fn write(&self, file: &str, text: &str) {
        fs::write(self.dir.join(file), text).expect("the file can be written");
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_ibissail"))
            .args(["--platform", &self.platform.to_string()])
            .args(args)
            .current_dir(&self.dir)
            .output()
            .expect("ibissail runs")
    }

    /// Runs a command that must succeed; returns its standard output.
    fn run_ok(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert!(output.status.success(), "{args:?}: {}", text(&output.stderr));
        text(&output.stdout)
    }

    /// Runs a command that must fail; returns its exit code and standard error.
    fn run_err(&self, args: &[&str]) -> (i32, String) {
        let output = self.run(args);
        assert!(!output.status.success(), "{args:?} succeeded, but a failure was expected");
        (output.status.code().unwrap_or_default(), text(&output.stderr))
    }

    fn with_applied_settings(self) -> Self {
        self.run_ok(&["apply", "root.yaml"]);
        self.run_ok(&["apply", "guides.yaml"]);
        self
    }

    fn set_faults(&self, faults: &PlatformFaults) {
        let url = format!("http://{}/control/faults", self.platform);
        let url = http_types::Url::parse(&url).expect("a URL");
        let mut req = http_types::Request::new(http_types::Method::Put, url);
        req.set_body(serde_json::to_vec(faults).expect("JSON"));
        let pool = Pool::new(PoolOptions::default());
        task::block_on(pool.send(self.platform, req, REQUEST_TIMEOUT))
            .expect("the platform responds");
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_accepts_examples_and_reports_errors() {
    let env = start_environment("check");
    assert_eq!(env.run_ok(&["check", "root.yaml", "guides.yaml"]), "2 branches are valid\n");
    env.write("guides.yaml", "branch: root/guides\nalow: [swift]\n");
    let (code, message) = env.run_err(&["check", "root.yaml", "guides.yaml"]);
    assert_eq!(code, 2);
    assert!(message.contains("guides.yaml:2: alow: unknown key"), "{message}");
}

#[test]
fn conflicting_apply_shows_both_changes_and_writes_nothing() {
    let env = start_environment("conflict").with_applied_settings();
    env.run_ok(&["get", "root/guides", "--to", "mine.yaml"]);
    env.run_ok(&["get", "root/guides", "--to", "theirs.yaml"]);
    env.write("theirs.yaml", &GUIDES.replace("concurrency: 32", "concurrency: 16"));
    env.write("mine.yaml", &GUIDES.replace("deadline: 60s", "deadline: 30s"));
    env.run_ok(&["apply", "theirs.yaml"]);
    let (code, message) = env.run_err(&["apply", "mine.yaml"]);
    assert_eq!(code, 3);
    assert!(message.contains("+    concurrency: 16"), "{message}");
    assert!(message.contains("+  draft: {quality: 0.9, deadline: 30s}"), "{message}");
    let in_force = env.run_ok(&["get", "root/guides"]);
    assert!(in_force.contains("concurrency: 16") && in_force.contains("deadline: 60s"));
    // The successful apply has updated `theirs.yaml.base`, so the same file applies again.
    env.run_ok(&["apply", "theirs.yaml"]);
}

#[test]
fn apply_rejects_branch_exceeding_parent_limits() {
    let env = start_environment("parent_limits").with_applied_settings();
    env.run_ok(&["get", "root/guides", "--to", "guides.yaml"]);
    env.write("guides.yaml", &GUIDES.replace("concurrency: 128", "concurrency: 999"));
    let (code, message) = env.run_err(&["apply", "guides.yaml"]);
    assert_eq!(code, 2);
    assert!(message.contains("limits.concurrency: `999` exceeds"), "{message}");
}

#[test]
fn write_with_lost_response_is_detected() {
    let env = start_environment("lost_response").with_applied_settings();
    env.run_ok(&["get", "root/guides", "--to", "guides.yaml"]);
    env.write("guides.yaml", &GUIDES.replace("deadline: 60s", "deadline: 30s"));
    env.set_faults(&PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    let applied = env.run_ok(&["apply", "guides.yaml"]);
    // Revisions count all writes to the platform; the two example files are 1 and 2.
    assert!(applied.contains("in force at revision 3"), "{applied}");
    env.set_faults(&PlatformFaults { lose_answers: 1, ..PlatformFaults::default() });
    assert_eq!(env.run_ok(&["withdraw", "swift@2"]), "swift@2 is withdrawn (generation 0)\n");
}

#[test]
fn reinstate_requires_current_generation() {
    let env = start_environment("reinstate").with_applied_settings();
    env.run_ok(&["withdraw", "swift@2"]);
    let (code, message) = env.run_err(&["reinstate", "swift@2", "--generation", "1"]);
    assert_eq!(code, 3);
    assert!(message.contains("is withdrawn (generation 0) now"), "{message}");
    env.run_ok(&["reinstate", "swift@2", "--generation", "0"]);
    let (code, _) = env.run_err(&["reinstate", "swift@2", "--generation", "0"]);
    assert_eq!(code, 3);
    assert!(env.run_ok(&["status"]).contains("active (generation 1)"));
}

/// Each accepted reinstatement ends exactly one generation, even with concurrent writers.
#[test]
fn concurrent_withdraw_and_reinstate_count_generations() {
    let env = start_environment("race").with_applied_settings();
    let env = &env;
    let reinstated: usize = thread::scope(|scope| {
        let writers: Vec<_> = (0..3)
            .map(|_| {
                scope.spawn(move || {
                    let mut accepted = 0;
                    for generation in 0..4 {
                        env.run_ok(&["withdraw", "swift@2"]);
                        let generation = generation.to_string();
                        let args = ["reinstate", "swift@2", "--generation", &generation];
                        if env.run(&args).status.success() {
                            accepted += 1;
                        }
                    }
                    accepted
                })
            })
            .collect();
        writers.into_iter().map(|writer| writer.join().expect("no panic")).sum()
    });
    env.run_ok(&["withdraw", "swift@2"]);
    let expected = format!("withdrawn (generation {reinstated})");
    assert!(env.run_ok(&["status"]).contains(&expected), "{}", env.run_ok(&["status"]));
}

#[test]
fn withdraw_fails_while_platform_is_down() {
    let env = start_environment("down").with_applied_settings();
    env.set_faults(&PlatformFaults { down: true, ..PlatformFaults::default() });
    let (code, message) = env.run_err(&["withdraw", "swift@2"]);
    assert_eq!(code, 1);
    assert!(message.contains("the call to the platform had no effect"), "{message}");
}

#[test]
fn documented_error_table_matches_code() {
    let docs = include_str!("../../../docs/ERRORS.md");
    let table = start_environment("errors").run_ok(&["errors"]);
    assert!(docs.ends_with(&table), "run `ibissail errors` and put its table into docs/ERRORS.md");
}

#[test]
fn json_output_is_machine_readable() {
    let env = start_environment("json").with_applied_settings();
    let printed = env.run_ok(&["--output", "json", "withdraw", "swift@2"]);
    let value: serde_json::Value = serde_json::from_str(&printed).expect("JSON");
    assert_eq!(value["standing"]["grade"], "withdrawn");
}
