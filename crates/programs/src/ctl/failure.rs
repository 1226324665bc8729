//! The error of a failed command, and its exit code.

use eelgrassramp::Category;
use eelgrassramp::Error;
use eelgrassramp::Kind;

use super::command::PROGRAM_NAME;
use crate::Exit;

/// The causes of a failed command, one line for each, and its exit code.
#[derive(Debug)]
pub(super) struct Failure {
    exit: Exit,
    lines: Vec<String>,
}

impl Failure {
    pub(super) fn new(exit: Exit, lines: Vec<String>) -> Self {
        Self { exit, lines }
    }

    pub(super) fn usage(line: impl Into<String>) -> Self {
        Self::new(Exit::Usage, vec![line.into()])
    }

    pub(super) const fn exit(&self) -> Exit {
        self.exit
    }

    pub(super) fn print(&self) {
        for line in &self.lines {
            eprintln!("{PROGRAM_NAME}: {line}");
        }
    }
}

impl From<Error> for Failure {
    fn from(e: Error) -> Self {
        let exit = match e.kind() {
            Kind::InvalidTables | Kind::InvalidSettings | Kind::BadRequest => Exit::Usage,
            Kind::WriteUnsettled => Exit::Failed,
            _ if e.classify() == Category::Unavailable => Exit::StoreUnavailable,
            _ => Exit::Failed,
        };
        Self::new(exit, vec![e.detail().to_owned()])
    }
}
