//! Prints the matrix of `docs/FAULTS.md`, or runs one cell: `faults STEP FAULT SEED`.

use std::process::ExitCode;

use eelgrassramp_standins::matrix::FaultKind;
use eelgrassramp_standins::matrix::Step;
use eelgrassramp_standins::matrix::run_one;
use eelgrassramp_standins::matrix::to_markdown;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [step, fault_kind, seed] = args.as_slice() else {
        print!("{}", to_markdown());
        return ExitCode::SUCCESS;
    };
    let step = Step::ALL.iter().find(|s| s.as_str() == step);
    let fault_kind = FaultKind::ALL.iter().find(|c| c.as_str() == fault_kind);
    let (Some(step), Some(fault_kind), Ok(seed)) = (step, fault_kind, seed.parse()) else {
        eprintln!("usage: faults STEP FAULT SEED, with names from the matrix");
        return ExitCode::from(2);
    };
    match run_one(*step, *fault_kind, seed) {
        Ok(run) => {
            println!("{run:#?}");
            ExitCode::from(u8::from(run.violations().next().is_some()))
        }
        Err(e) => {
            eprintln!("the deployment did not start: {e}");
            ExitCode::FAILURE
        }
    }
}
