//! Runs a complete deployment in one process on loopback.

use std::process::ExitCode;

use kingcupford_demo::{Deployment, DeploymentSettings, check_deployment};
use kingcupford_telemetry::{LogSettings, init_logs};

mod flags {
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Runs entry hosts and stand-ins of the platform and of upstreams in one process on
        /// loopback.
        cmd kingcupford-demo {
            /// Verifies the deployment with requests, prints each verified step and exits with 0,
            /// or with 1 if a step fails.
            optional --check
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::KingcupfordDemo::from_env_or_exit();
    let res = if flags.check { run_check().await } else { serve().await };
    match res {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcupford-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Starts a deployment, verifies it and prints each verified step.
async fn run_check() -> anyhow::Result<()> {
    let mut deployment = Deployment::start(DeploymentSettings::default()).await?;
    for line in check_deployment(&mut deployment).await? {
        println!("ok: {line}");
    }
    Ok(())
}

/// Starts a deployment, prints commands to try and serves until interrupted.
async fn serve() -> anyhow::Result<()> {
    init_logs(&LogSettings { level: "info".to_owned(), source: "demo".to_owned() })?;
    let deployment = Deployment::start(DeploymentSettings::default()).await?;
    let (key, version) = deployment.issue_key("demo-1", "school-1").await?;
    deployment.wait_until_active(version).await?;
    let base = deployment.url(0)?;
    let key = key.reveal();
    println!("Platform: http://{}", deployment.platform.address());
    println!("Try:");
    println!("  curl '{base}/v1/lookup?service=ledger-view&client=10.2.0.7'");
    println!("  curl -i -H 'authorization: Bearer {key}' {base}/ledger-view/balances/7");
    println!("  curl -i {base}/ledger-view/balances/7");
    println!(
        "  curl -i -X POST -d '{{}}' -H 'authorization: Bearer {key}' {base}/deposit-desk/deposits"
    );
    println!("  curl -i -X POST -d '{{}}' -H 'authorization: Bearer {key}' \\");
    println!(
        "    -H 'kingcupford-request-id: <binding of the answer above>.1' {base}/deposit-desk/deposits"
    );
    println!("Interrupt with ctrl-c.");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
