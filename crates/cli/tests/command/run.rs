//! Runs the command and checks its exit code and output.

use std::process::{Command, Output};

use serde_json::Value;

/// Exit code and output of a finished command.
pub(crate) struct CommandResult {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl CommandResult {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }

    #[track_caller]
    pub(crate) fn exits_with(self, expected: i32) -> Self {
        assert_eq!(self.code, expected, "{}{}", self.out, self.err);
        self
    }

    #[track_caller]
    pub(crate) fn prints(self, text: &str) -> Self {
        assert!(self.out.contains(text), "{}{}", self.out, self.err);
        self
    }

    #[track_caller]
    pub(crate) fn prints_error(self, text: &str) -> Self {
        assert!(self.err.contains(text), "{}{}", self.out, self.err);
        self
    }
}

/// Runs the command without blocking the runtime that serves the stubs.
pub(crate) async fn run<A: AsRef<str>>(arguments: impl IntoIterator<Item = A>) -> CommandResult {
    let arguments = arguments
        .into_iter()
        .map(|argument| argument.as_ref().to_string());
    let arguments: Vec<_> = arguments.collect();
    let output = actix_web::web::block(move || run_blocking(&arguments)).await;
    let output = output.unwrap();
    CommandResult {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn run_blocking(arguments: &[String]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wagtaillever"))
        .args(arguments)
        .env_remove("WAGTAILLEVER_NODES")
        .env_remove("WAGTAILLEVER_TOKEN")
        .output()
        .unwrap()
}
