//! Entry point of the `kingcupford-ctl` binary.

use std::{
    io::{stderr, stdout},
    process::ExitCode,
};

use kingcupford_ctl::{Console, run};

#[tokio::main]
async fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let mut console = Console::new(Box::new(stdout()), Box::new(stderr()));
    let exit_status = run(args, &mut console).await;
    ExitCode::from(exit_status.code())
}
