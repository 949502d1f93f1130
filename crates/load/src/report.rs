//! Evaluation of a finished run: figures and plots.

use kingcupford_config::{ShiftId, TeamId};
use kingcupford_scenario::{FaultInterval, Measurements, Plot, Requirement, Series};

use crate::{caller::OperationOutcome, reference, world::World};

/// Teams with fewer requests are left out of the figures of the worst team.
const MIN_TEAM_REQUESTS: u64 = 20;

impl World {
    /// Evaluates the whole run and returns its violations and figures.
    pub(crate) fn evaluate(&mut self) -> Measurements {
        self.check_rates();
        self.check_at_most_once();
        self.check_bad_versions();
        self.set_service_figures();
        self.set_team_figures();
        self.set_event_figures();
        std::mem::take(&mut self.observer.measurements)
    }

    /// Returns the admission times of a team's requests that ran, in microseconds.
    fn admission_times_us(&self, team: usize) -> Vec<u64> {
        let ran = self.requests.iter().filter(|it| it.execution_count > 0);
        let of_team = ran.filter(|it| self.callers.ops[it.op].team == Some(team));
        of_team.map(|it| it.admitted_us).collect()
    }

    /// Compares the requests that ran with the rates of teams and the caps of shifts.
    fn check_rates(&mut self) {
        let snapshot = self.snapshot.clone();
        for (id, team) in snapshot.teams.iter() {
            let mut times_us = self.admission_times_us(usize::from(id.0));
            let excess = reference::count_excess(&mut times_us, team.rate_per_s, team.burst);
            self.observer.measurements.record_violations(Requirement::TeamRate, excess);
        }
        let mut moved = 0;
        for (id, mut times_us) in std::mem::take(&mut self.observer.shifted_at_us) {
            let Some(shift) = snapshot.shifts.value(ShiftId(id)) else { continue };
            moved += times_us.len();
            let excess = reference::count_excess(&mut times_us, shift.cap_per_s, shift.burst);
            self.observer.measurements.record_violations(Requirement::ShiftCap, excess);
        }
        if !snapshot.shifts.iter().any(|_| true) {
            return;
        }
        self.observer.measurements.set_figure("moved_requests", moved as f64);
    }

    /// Counts repeated executions of operations that are not idempotent.
    fn check_at_most_once(&mut self) {
        let ops = self.callers.ops.iter().filter(|it| !it.idempotent);
        let repeats: u64 = ops.map(|it| u64::from(it.execution_count.saturating_sub(1))).sum();
        self.observer.measurements.record_violations(Requirement::AtMostOnce, repeats);
    }

    /// Sets the figures of latency, goodput and outcomes by service.
    fn set_service_figures(&mut self) {
        let snapshot = self.snapshot.clone();
        let duration_s = self.scenario.duration_s;
        let observer = &mut self.observer;
        let mut all_done = 0;
        for (id, service) in snapshot.services.iter() {
            let index = usize::from(id.0);
            if observer.offered[index] == 0 {
                continue;
            }
            let name = &service.name;
            for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
                let value_ms =
                    observer.latency_us[index].value_at_quantile(quantile) as f64 / 1000.0;
                observer.measurements.set_figure(format!("latency_{label}_ms.{name}"), value_ms);
            }
            let compared =
                observer.team_latency_us[index].iter().filter(|it| it.len() >= MIN_TEAM_REQUESTS);
            let worst = compared.map(|it| it.value_at_quantile(0.99)).max().unwrap_or(0);
            observer
                .measurements
                .set_figure(format!("worst_tenant_p99_ms.{name}"), worst as f64 / 1000.0);
            let outcomes = observer.outcomes[index];
            all_done += outcomes[OperationOutcome::Done as usize];
            let offered = observer.offered[index];
            observer.measurements.set_figure(format!("offered.{name}"), offered as f64);
            let unfinished = offered.saturating_sub(outcomes.iter().sum());
            let counts = [
                ("finished", outcomes[OperationOutcome::Done as usize]),
                ("failed", outcomes[OperationOutcome::Failed as usize]),
                ("not_run", outcomes[OperationOutcome::NotRun as usize]),
                ("unknown", outcomes[OperationOutcome::Unknown as usize]),
                ("unfinished", unfinished),
            ];
            for (label, count) in counts {
                observer.measurements.set_figure(format!("{label}.{name}"), count as f64);
            }
            let percent = outcomes[OperationOutcome::Done as usize] as f64 * 100.0 / offered as f64;
            observer.measurements.set_figure(format!("finished_percent.{name}"), percent);
        }
        observer.measurements.set_figure("goodput_per_s", all_done as f64 / duration_s);
    }

    /// Sets the percentage of finished requests of each team, and the lowest among the teams
    /// with at least `MIN_TEAM_REQUESTS`.
    fn set_team_figures(&mut self) {
        let observer = &mut self.observer;
        let compared =
            observer.ended_and_done_by_team.iter().filter(|it| it[0] >= MIN_TEAM_REQUESTS);
        let worst = compared.map(|it| it[1] as f64 * 100.0 / it[0] as f64).fold(100.0, f64::min);
        observer.measurements.set_figure("worst_tenant_finished_percent", worst);
        for (id, team) in self.snapshot.teams.iter() {
            let [ended, done] = observer.ended_and_done_by_team[usize::from(id.0)];
            if ended > 0 {
                let percent = done as f64 * 100.0 / ended as f64;
                observer
                    .measurements
                    .set_figure(format!("tenant_finished_percent.{}", team.name), percent);
            }
        }
    }

    /// Sets the figures of retries, refusals, drains, revocations, poison requests and rollouts.
    fn set_event_figures(&mut self) {
        let observer = &mut self.observer;
        let measurements = &mut observer.measurements;
        let mut set = |name: String, value: f64| measurements.set_figure(name, value);
        set("retries".to_owned(), observer.retries as f64);
        set("refused_within_rate".to_owned(), observer.refused_within_rate as f64);
        set("instances_lost_to_poison".to_owned(), observer.poison_crashes as f64);
        for (reason, count) in &observer.refusals {
            set(format!("refused.{reason}"), *count as f64);
        }
        if let Some(max_drain_us) = observer.max_drain_us {
            set("drain_s".to_owned(), max_drain_us as f64 / 1e6);
        }
        for (_, since_us, last_use_us) in &observer.revocations {
            set("revoked_key_used_s".to_owned(), (last_use_us - since_us) as f64 / 1e6);
        }
        for rollout in &observer.rollouts {
            let done = rollout.ended.is_some_and(|it| it.1);
            let rolled_back = rollout.ended.is_some_and(|it| !it.1);
            set("rollout_done".to_owned(), f64::from(u8::from(done)));
            set("rollout_rolled_back".to_owned(), f64::from(u8::from(rolled_back)));
            set("rollout_in_time".to_owned(), f64::from(u8::from(rollout.is_in_time())));
            if let Some(duration_s) = rollout.duration_s() {
                set("rollout_time_s".to_owned(), duration_s);
            }
            set("new_version_requests".to_owned(), rollout.requests as f64);
            let percent =
                |count: u64| count as f64 * 100.0 / rollout.service_requests.max(1) as f64;
            set("new_version_percent".to_owned(), percent(rollout.requests));
            if rollout.is_bad {
                set("spoilt_requests".to_owned(), rollout.spoilt as f64);
                set("spoilt_percent".to_owned(), percent(rollout.spoilt));
                let first_spoilt_us = rollout.first_spoilt_us.unwrap_or(rollout.last_request_us);
                let stop_s = rollout.last_request_us.saturating_sub(first_spoilt_us) as f64 / 1e6;
                set("bad_version_stop_s".to_owned(), stop_s);
            }
        }
    }

    /// Returns the plots of latency by service and of requests by team.
    pub(crate) fn plots(&self) -> Vec<Plot> {
        let fault_intervals: Vec<FaultInterval> = self.fault_intervals();
        let end_s = self.scenario.duration_s;
        let mut res = Vec::new();
        for (id, service) in self.snapshot.services.iter() {
            let index = usize::from(id.0);
            if self.observer.offered[index] == 0 {
                continue;
            }
            let quantile_series = |name: &str, quantile: f64| Series {
                name: name.to_owned(),
                is_limit: false,
                points: self
                    .observer
                    .latencies_by_second_us
                    .iter()
                    .enumerate()
                    .filter(|(second, _)| *second as f64 <= end_s)
                    .filter_map(|(second, it)| {
                        Some((second as f64, quantile_ms(&it[index], quantile)?))
                    })
                    .collect(),
            };
            res.push(Plot {
                title: format!("Latency of {}", service.name),
                unit: "ms".to_owned(),
                end_s,
                series: vec![quantile_series("p50", 0.5), quantile_series("p99", 0.99)],
                fault_intervals: fault_intervals.clone(),
            });
        }
        for (id, team) in self.snapshot.teams.iter() {
            let admitted_us = self.admission_times_us(usize::from(id.0));
            if admitted_us.is_empty() {
                continue;
            }
            res.push(self.team_plot(id, &team.name, &admitted_us, fault_intervals.clone()));
        }
        res
    }

    /// Plots the requests of a team that ran, by second of admission, and the team's rate.
    fn team_plot(
        &self,
        id: TeamId,
        name: &str,
        times_us: &[u64],
        fault_intervals: Vec<FaultInterval>,
    ) -> Plot {
        let end_s = self.scenario.duration_s;
        let mut counts = vec![0.0; end_s.ceil() as usize + 1];
        for at_us in times_us {
            let second = (at_us.saturating_sub(self.measure_start_us) / 1_000_000) as usize;
            if let Some(it) = counts.get_mut(second) {
                *it += 1.0;
            }
        }
        let points = counts.into_iter().enumerate().map(|(second, count)| (second as f64, count));
        let rate = self.snapshot.teams[id].rate_per_s;
        Plot {
            title: format!("Requests of {name}"),
            unit: "per second".to_owned(),
            end_s,
            series: vec![
                Series { name: "ran".to_owned(), is_limit: false, points: points.collect() },
                Series {
                    name: "rate".to_owned(),
                    is_limit: true,
                    points: vec![(0.0, rate), (end_s, rate)],
                },
            ],
            fault_intervals,
        }
    }

    /// Returns the intervals of the declared faults.
    fn fault_intervals(&self) -> Vec<FaultInterval> {
        let end_s = self.scenario.duration_s;
        let faults = self.scenario.faults.iter();
        faults
            .map(|it| FaultInterval {
                fault: <&str>::from(&it.what).to_owned(),
                start_s: it.at_s,
                end_s: it.until_s.unwrap_or(end_s),
            })
            .collect()
    }
}

/// Returns a quantile of latencies in milliseconds, or `None` if there are none.
fn quantile_ms(latencies_us: &[u64], quantile: f64) -> Option<f64> {
    let mut sorted = latencies_us.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[(last as f64 * quantile).round() as usize] as f64 / 1000.0)
}
