//! Measures the cost of the control plane at several sizes and writes the tables of the capacity
//! page.

use std::process::ExitCode;

use kingcupford_capacity::{Report, measure, write_page};

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures the control plane of real entry processes with a stand-in of the platform.
        cmd kingcupford-capacity {
            /// Runs series of measurements and writes the report and the tables of the page.
            cmd measure {
                /// Numbers of hosts, separated by commas; 8,16,32,64 by default.
                optional --hosts counts: String
                /// Names of the series to run, separated by commas; all by default.
                optional --series names: String
                /// Seconds for which idle hosts are measured; 20 by default.
                optional --idle-s seconds: u64
                /// File of the report; runs of other series in the file are kept.
                required --report file: PathBuf
                /// Page whose marked tables are replaced; no page is written by default.
                optional --page file: PathBuf
            }
            /// Writes the tables of the page from reports.
            cmd page {
                /// Files of reports, whose runs are joined in the given order.
                repeated --report file: PathBuf
                /// Page whose marked tables are replaced.
                required --page file: PathBuf
            }
        }
    }
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let flags = flags::KingcupfordCapacity::from_env_or_exit();
    match run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcupford-capacity: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: flags::KingcupfordCapacity) -> anyhow::Result<()> {
    match flags.subcommand {
        flags::KingcupfordCapacityCmd::Measure(it) => {
            let host_counts = it.hosts.as_deref().unwrap_or("8,16,32,64").split(',');
            let host_counts =
                host_counts.map(|it| Ok(it.parse()?)).collect::<anyhow::Result<Vec<usize>>>()?;
            let series_names: Option<Vec<String>> =
                it.series.map(|it| it.split(',').map(str::to_owned).collect());
            let idle_s = it.idle_s.unwrap_or(20);
            let report = measure(&host_counts, series_names.as_deref(), idle_s, &it.report).await?;
            if let Some(page) = it.page {
                write_page(&page, &report)?;
            }
        }
        flags::KingcupfordCapacityCmd::Page(it) => {
            let mut report = Report::default();
            for file in &it.report {
                report.runs.extend(Report::load(file)?.runs);
            }
            write_page(&it.page, &report)?;
        }
    }
    Ok(())
}
