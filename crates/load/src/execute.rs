//! Executions at instances.

use rand::Rng as _;

use crate::{
    event::{Event, UpstreamEnd},
    upstream::{DRAIN_GRACE_US, ExecutionId, ExecutionState},
    world::World,
};

impl World {
    /// An attempt reaches its instance.
    pub(crate) fn at_upstream(&mut self, execution: ExecutionId) {
        let now_us = self.clock.now_us();
        let attempt = &self.executions[execution];
        if attempt.state != ExecutionState::Sent {
            return;
        }
        let upstream = &self.upstreams[attempt.instance];
        if !upstream.up {
            return self.end_unrun(execution, UpstreamEnd::Refused);
        }
        let drains = upstream.drains_since_us;
        let refuses = drains.is_some_and(|it| now_us >= it + DRAIN_GRACE_US);
        let is_full = upstream.running.len() >= upstream.slots;
        if refuses || is_full && upstream.queue.len() >= upstream.queue_limit() {
            return self.end_unrun(execution, UpstreamEnd::Shed { draining: drains.is_some() });
        }
        let instance = attempt.instance;
        self.executions[execution].start = self.upstreams[instance].start;
        self.executions[execution].state = ExecutionState::Queued;
        self.upstreams[instance].queue.push_back(execution);
        self.observe_region(instance);
        self.run_queued(instance);
    }

    /// Ends an attempt that the instance did not run.
    fn end_unrun(&mut self, execution: ExecutionId, end: UpstreamEnd) {
        self.executions[execution].state = ExecutionState::Ended;
        self.report_end(execution, end);
    }

    /// Sends the end of an attempt to its host.
    fn report_end(&mut self, execution: ExecutionId, end: UpstreamEnd) {
        let attempt = &self.executions[execution];
        let (to, sending, number) = (attempt.from, attempt.sending, attempt.attempt);
        let zone = self.upstreams[attempt.instance].zone;
        let host_zone = self.hosts[to.host].zone;
        if self.network.connected(host_zone, zone) {
            let way_us = self.network.latency_us(zone, host_zone);
            self.clock.after(way_us, Event::AttemptEnds { to, sending, attempt: number, end });
        }
    }

    /// Runs waiting requests while slots are free.
    pub(crate) fn run_queued(&mut self, instance: usize) {
        let now_us = self.clock.now_us();
        while self.upstreams[instance].running.len() < self.upstreams[instance].slots {
            let Some(execution) = self.upstreams[instance].queue.pop_front() else { return };
            if self.executions[execution].deadline_us <= now_us {
                self.executions[execution].state = ExecutionState::Ended;
                continue;
            }
            self.run_execution(instance, execution);
        }
    }

    /// Runs one request.
    fn run_execution(&mut self, instance: usize, execution: ExecutionId) {
        let now_us = self.clock.now_us();
        let sending = self.executions[execution].sending;
        let op = self.sendings[sending].op;
        self.sendings[sending].executions += 1;
        self.callers.ops[op].executions += 1;
        self.upstreams[instance].running.push(execution);
        self.executions[execution].state = ExecutionState::Running;
        let path = self.callers.ops[op].path.clone();
        let upstream = &self.upstreams[instance];
        let fault = upstream.shows_fault(&path, now_us);
        let model = &upstream.model;
        let fault_factor = fault.map_or(1.0, |it| it.slow_factor);
        let factor = upstream.slow_factor * upstream.cold_factor(now_us) * fault_factor;
        let fails = fault.map_or(0.0, |it| it.fail_percent / 100.0);
        let is_bad = fault.is_some();
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let time_ms = model.service_time_ms * (model.spread * normal).exp() * factor;
        let failed = self.rng.random::<f64>() < fails;
        self.observe_execution(instance, execution, is_bad && (failed || fault_factor > 1.0));
        self.executions[execution].failed = failed;
        if self.callers.ops[op].poison.is_some() {
            let end_us = now_us + 2_000;
            let restart = self.callers.ops[op].poison_restart_us;
            self.clock.at(end_us + restart, Event::InstanceStarts { instance });
            self.crash_instance(instance);
            self.observer.lost_to_poison();
            return;
        }
        let end_us = now_us + ((time_ms * 1000.0) as u64).max(1);
        let end_us = end_us.min(self.executions[execution].deadline_us);
        self.clock.at(end_us, Event::ExecutionEnds { execution });
    }

    /// An execution ends by itself or at its deadline.
    pub(crate) fn execution_ends(&mut self, execution: ExecutionId) {
        if self.executions[execution].state != ExecutionState::Running {
            return;
        }
        let now_us = self.clock.now_us();
        let instance = self.executions[execution].instance;
        self.remove_execution(execution);
        if now_us < self.executions[execution].deadline_us {
            let failed = self.executions[execution].failed;
            let draining = self.upstreams[instance].drains_since_us.is_some();
            self.report_end(execution, UpstreamEnd::Answered { failed, draining });
        }
        self.run_queued(instance);
    }

    /// A cancellation reaches an instance.
    pub(crate) fn cancel_execution(&mut self, execution: ExecutionId) {
        if self.executions[execution].state == ExecutionState::Ended {
            return;
        }
        let instance = self.executions[execution].instance;
        self.remove_execution(execution);
        self.run_queued(instance);
    }

    /// Takes an execution off its instance.
    fn remove_execution(&mut self, execution: ExecutionId) {
        let instance = self.executions[execution].instance;
        self.executions[execution].state = ExecutionState::Ended;
        let upstream = &mut self.upstreams[instance];
        upstream.running.retain(|it| *it != execution);
        upstream.queue.retain(|it| *it != execution);
        self.observe_drain(instance);
    }

    /// An instance's process dies; its connections break.
    pub(crate) fn crash_instance(&mut self, instance: usize) {
        let upstream = &mut self.upstreams[instance];
        if !upstream.up {
            return;
        }
        upstream.up = false;
        upstream.start += 1;
        let mut lost = std::mem::take(&mut upstream.running);
        lost.extend(std::mem::take(&mut upstream.queue));
        for execution in lost {
            self.end_unrun(execution, UpstreamEnd::Broken);
        }
    }

    /// An instance's process starts, cold.
    pub(crate) fn instance_starts(&mut self, instance: usize) {
        let now_us = self.clock.now_us();
        let upstream = &mut self.upstreams[instance];
        if !upstream.up {
            upstream.up = true;
            upstream.started_us = Some(now_us);
        }
    }
}
