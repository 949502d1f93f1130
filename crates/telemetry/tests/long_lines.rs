//! Tests of log lines with text of other writers.

use std::process::Command;

use kingcupford_telemetry::{Event, LogSettings, init_logs, init_stdout_logs};

/// Name of the environment variable that makes a test log its lines instead.
const OUTPUT_VARIABLE: &str = "LONG_LINES_OUTPUT";

/// Guards against a line that is as long as the odd entry that it names, and that takes the place of
/// other lines.
#[test]
fn line_of_large_entry() {
    if let Ok(output) = std::env::var(OUTPUT_VARIABLE) {
        let settings = LogSettings { level: "info".to_owned(), source: "h".to_owned() };
        match output.as_str() {
            "stdout" => init_stdout_logs(&settings).unwrap(),
            _ => init_logs(&settings).unwrap(),
        }
        for _ in 0..20 {
            Event::InstanceRejected.log(format_args!("reason=\"{}\"", "ä\u{1}".repeat(300_000)));
        }
        Event::InstanceRejected.log(format_args!("reason=\"short\""));
        std::thread::sleep(std::time::Duration::from_millis(500));
        return;
    }
    for output in ["stdout", "stderr"] {
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "line_of_large_entry", "--nocapture"])
            .env(OUTPUT_VARIABLE, output)
            .output()
            .unwrap();
        let text = if output == "stdout" { child.stdout } else { child.stderr };
        let text = String::from_utf8(text).unwrap();
        let lines: Vec<_> = text.lines().filter(|it| it.contains("InstanceRejected")).collect();
        assert_eq!(lines.len(), 21, "{output}");
        assert!(lines[20].ends_with("reason=\"short\""), "{output}");
        let longest = lines.iter().map(|it| it.len()).max().unwrap();
        assert!(longest < 20_000, "{output}: a line of {longest} bytes");
    }
}
