//! Runs the command and checks how it ends.

use std::process::{Command, Output};

use serde_json::Value;

/// What a run of the command left.
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Run {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }

    #[track_caller]
    pub(crate) fn code(self, expected: i32) -> Self {
        assert_eq!(self.code, expected, "{}{}", self.out, self.err);
        self
    }

    #[track_caller]
    pub(crate) fn shows(self, text: &str) -> Self {
        assert!(self.out.contains(text), "{}{}", self.out, self.err);
        self
    }

    #[track_caller]
    pub(crate) fn warns(self, text: &str) -> Self {
        assert!(self.err.contains(text), "{}{}", self.out, self.err);
        self
    }
}

/// Runs the command without blocking the runtime that serves the stand-ins.
pub(crate) async fn run<A: AsRef<str>>(arguments: impl IntoIterator<Item = A>) -> Run {
    let arguments = arguments.into_iter().map(|it| it.as_ref().to_string());
    let arguments: Vec<_> = arguments.collect();
    let output = actix_web::web::block(move || start(&arguments)).await;
    let output = output.unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn start(arguments: &[String]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wagtaillever"))
        .args(arguments)
        .env_remove("WAGTAILLEVER_NODES")
        .env_remove("WAGTAILLEVER_TOKEN")
        .output()
        .unwrap()
}
