//! Figures and plots of a finished run.

use kingcupford_config::{ShiftId, TenantId};
use kingcupford_scenario::{FaultInterval, Measurements, Plot, Requirement, Series};

use crate::{caller::OpEnd, reference, world::World};

/// Least requests of a tenant that is compared with others.
const MIN_REQUESTS: u64 = 20;

impl World {
    /// Judges the whole run and answers violations and figures.
    pub(crate) fn finish(&mut self) -> Measurements {
        self.judge_rates();
        self.judge_executions();
        self.observe_spoilt();
        self.set_service_figures();
        self.set_tenant_figures();
        self.set_event_figures();
        std::mem::take(&mut self.observer.side)
    }

    /// Admission times of a tenant's requests that ran.
    fn admitted(&self, tenant: usize) -> Vec<u64> {
        let ran = self.sendings.iter().filter(|it| it.executions > 0);
        let of_tenant = ran.filter(|it| self.callers.ops[it.op].tenant == Some(tenant));
        of_tenant.map(|it| it.admitted_us).collect()
    }

    /// Compares what ran with the caps of tenants and shifts.
    fn judge_rates(&mut self) {
        let snapshot = self.snapshot.clone();
        for (id, tenant) in snapshot.tenants.iter() {
            let mut times_us = self.admitted(usize::from(id.0));
            let excess = reference::excess(&mut times_us, tenant.rate_per_s, tenant.burst);
            self.observer.side.record_violations(Requirement::TenantRate, excess);
        }
        let mut moved = 0;
        for (id, mut times_us) in std::mem::take(&mut self.observer.shifted) {
            let Some(shift) = snapshot.shifts.value(ShiftId(id)) else { continue };
            moved += times_us.len();
            let excess = reference::excess(&mut times_us, shift.cap_per_s, shift.burst);
            self.observer.side.record_violations(Requirement::ShiftCap, excess);
        }
        if !snapshot.shifts.iter().any(|_| true) {
            return;
        }
        self.observer.side.set_figure("moved_requests", moved as f64);
    }

    /// Counts executions of requests that may run once.
    fn judge_executions(&mut self) {
        let ops = self.callers.ops.iter().filter(|it| !it.idempotent);
        let repeats: u64 = ops.map(|it| u64::from(it.executions.saturating_sub(1))).sum();
        self.observer.side.record_violations(Requirement::AtMostOnce, repeats);
    }

    /// Latency, goodput and ends by service.
    fn set_service_figures(&mut self) {
        let snapshot = self.snapshot.clone();
        let duration_s = self.scenario.duration_s;
        let observer = &mut self.observer;
        let mut all_done = 0;
        for (id, service) in snapshot.services.iter() {
            let at = usize::from(id.0);
            if observer.offered[at] == 0 {
                continue;
            }
            let name = &service.name;
            for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
                let value_ms = observer.latency[at].value_at_quantile(quantile) as f64 / 1000.0;
                observer.side.set_figure(format!("latency_{label}_ms.{name}"), value_ms);
            }
            let compared = observer.tenant_latency[at].iter().filter(|it| it.len() >= MIN_REQUESTS);
            let worst = compared.map(|it| it.value_at_quantile(0.99)).max().unwrap_or(0);
            observer.side.set_figure(format!("worst_tenant_p99_ms.{name}"), worst as f64 / 1000.0);
            let ends = observer.ends[at];
            all_done += ends[OpEnd::Done as usize];
            let offered = observer.offered[at];
            observer.side.set_figure(format!("offered.{name}"), offered as f64);
            let unfinished = offered.saturating_sub(ends.iter().sum());
            let counts = [
                ("finished", ends[OpEnd::Done as usize]),
                ("failed", ends[OpEnd::Failed as usize]),
                ("not_run", ends[OpEnd::NotRun as usize]),
                ("unknown", ends[OpEnd::Unknown as usize]),
                ("unfinished", unfinished),
            ];
            for (label, count) in counts {
                observer.side.set_figure(format!("{label}.{name}"), count as f64);
            }
            let percent = ends[OpEnd::Done as usize] as f64 * 100.0 / offered as f64;
            observer.side.set_figure(format!("finished_percent.{name}"), percent);
        }
        observer.side.set_figure("goodput_per_s", all_done as f64 / duration_s);
    }

    /// Figures of the worst-served tenant.
    fn set_tenant_figures(&mut self) {
        let observer = &mut self.observer;
        let compared = observer.by_tenant.iter().filter(|it| it[0] >= MIN_REQUESTS);
        let worst = compared.map(|it| it[1] as f64 * 100.0 / it[0] as f64).fold(100.0, f64::min);
        observer.side.set_figure("worst_tenant_finished_percent", worst);
        for (id, tenant) in self.snapshot.tenants.iter() {
            let [ended, done] = observer.by_tenant[usize::from(id.0)];
            if ended > 0 {
                let percent = done as f64 * 100.0 / ended as f64;
                observer
                    .side
                    .set_figure(format!("tenant_finished_percent.{}", tenant.name), percent);
            }
        }
    }

    /// Figures of refusals, drains, revocations, poison requests and rollouts.
    fn set_event_figures(&mut self) {
        let observer = &mut self.observer;
        let side = &mut observer.side;
        let mut set = |name: String, value: f64| side.set_figure(name, value);
        set("retries".to_owned(), observer.retries as f64);
        set("refused_within_rate".to_owned(), observer.refused_within_rate as f64);
        set("instances_lost_to_poison".to_owned(), observer.lost_instances as f64);
        for (reason, count) in &observer.refusals {
            set(format!("refused.{reason}"), *count as f64);
        }
        if let Some(drain_us) = observer.drain_us {
            set("drain_s".to_owned(), drain_us as f64 / 1e6);
        }
        for (_, since_us, last_us) in &observer.revoked {
            set("revoked_key_used_s".to_owned(), (last_us - since_us) as f64 / 1e6);
        }
        for seen in &observer.rollouts {
            let done = seen.ended.is_some_and(|it| it.1);
            let rolled_back = seen.ended.is_some_and(|it| !it.1);
            set("rollout_done".to_owned(), f64::from(u8::from(done)));
            set("rollout_rolled_back".to_owned(), f64::from(u8::from(rolled_back)));
            set("rollout_in_time".to_owned(), f64::from(u8::from(seen.is_in_time())));
            if let Some(time_s) = seen.time_s() {
                set("rollout_time_s".to_owned(), time_s);
            }
            set("new_version_requests".to_owned(), seen.requests as f64);
            let percent = |count: u64| count as f64 * 100.0 / seen.all.max(1) as f64;
            set("new_version_percent".to_owned(), percent(seen.requests));
            if seen.is_bad {
                set("spoilt_requests".to_owned(), seen.spoilt as f64);
                set("spoilt_percent".to_owned(), percent(seen.spoilt));
                let first_us = seen.first_us.unwrap_or(seen.last_us);
                let stop_s = seen.last_us.saturating_sub(first_us) as f64 / 1e6;
                set("bad_version_stop_s".to_owned(), stop_s);
            }
        }
    }

    /// Plots of the run.
    pub(crate) fn plots(&self) -> Vec<Plot> {
        let fault_intervals: Vec<FaultInterval> = self.fault_intervals();
        let end_s = self.scenario.duration_s;
        let mut res = Vec::new();
        for (id, service) in self.snapshot.services.iter() {
            let at = usize::from(id.0);
            if self.observer.offered[at] == 0 {
                continue;
            }
            let line = |name: &str, quantile: f64| Series {
                name: name.to_owned(),
                is_limit: false,
                points: self
                    .observer
                    .latency_over_time
                    .iter()
                    .enumerate()
                    .filter(|(second, _)| *second as f64 <= end_s)
                    .filter_map(|(second, it)| {
                        Some((second as f64, quantile_ms(&it[at], quantile)?))
                    })
                    .collect(),
            };
            res.push(Plot {
                title: format!("Latency of {}", service.name),
                unit: "ms".to_owned(),
                end_s,
                series: vec![line("p50", 0.5), line("p99", 0.99)],
                fault_intervals: fault_intervals.clone(),
            });
        }
        for (id, tenant) in self.snapshot.tenants.iter() {
            let admitted = self.admitted(usize::from(id.0));
            if admitted.is_empty() {
                continue;
            }
            res.push(self.tenant_plot(id, &tenant.name, &admitted, fault_intervals.clone()));
        }
        res
    }

    /// What a tenant was given each second, against its rate.
    fn tenant_plot(
        &self,
        id: TenantId,
        name: &str,
        times_us: &[u64],
        fault_intervals: Vec<FaultInterval>,
    ) -> Plot {
        let end_s = self.scenario.duration_s;
        let mut counts = vec![0.0; end_s.ceil() as usize + 1];
        for at_us in times_us {
            let second = (at_us.saturating_sub(self.measured_us) / 1_000_000) as usize;
            if let Some(it) = counts.get_mut(second) {
                *it += 1.0;
            }
        }
        let points = counts.into_iter().enumerate().map(|(at, count)| (at as f64, count));
        let rate = self.snapshot.tenants[id].rate_per_s;
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

    /// Times of the faults.
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

/// A quantile of latencies, `None` without any.
fn quantile_ms(latencies_us: &[u64], quantile: f64) -> Option<f64> {
    let mut sorted = latencies_us.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[(last as f64 * quantile).round() as usize] as f64 / 1000.0)
}
