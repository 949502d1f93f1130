//! Execution of requests at simulated instances.

use rand::Rng as _;

use crate::{
    event::{AttemptEnd, Event},
    upstream::{DRAIN_GRACE_US, ExecutionIndex, ExecutionState},
    world::World,
};

impl World {
    /// Handles the arrival of an attempt at its instance: queues, sheds or refuses it.
    pub(crate) fn handle_attempt(&mut self, execution: ExecutionIndex) {
        let now_us = self.clock.now_us();
        let attempt = &self.executions[execution];
        if attempt.state != ExecutionState::Sent {
            return;
        }
        let upstream = &self.upstreams[attempt.instance];
        if !upstream.is_up {
            return self.end_without_response(execution, AttemptEnd::ConnectFailed);
        }
        let draining_since_us = upstream.draining_since_us;
        let is_refusing = draining_since_us.is_some_and(|it| now_us >= it + DRAIN_GRACE_US);
        let is_full = upstream.running.len() >= upstream.slots;
        if is_refusing || is_full && upstream.queue.len() >= upstream.queue_capacity() {
            return self.end_without_response(
                execution,
                AttemptEnd::Shed { draining: draining_since_us.is_some() },
            );
        }
        let instance = attempt.instance;
        self.executions[execution].generation = self.upstreams[instance].generation;
        self.executions[execution].state = ExecutionState::Queued;
        self.upstreams[instance].queue.push_back(execution);
        self.check_region_load(instance);
        self.run_queued(instance);
    }

    /// Ends an execution without a response of the service and reports it to the host.
    fn end_without_response(&mut self, execution: ExecutionIndex, end: AttemptEnd) {
        self.executions[execution].state = ExecutionState::Ended;
        self.send_attempt_end(execution, end);
    }

    /// Reports the end of an attempt to its host, if the host can be reached.
    fn send_attempt_end(&mut self, execution: ExecutionIndex, end: AttemptEnd) {
        let attempt = &self.executions[execution];
        let (to, request, attempt_number) = (attempt.from, attempt.request, attempt.attempt_number);
        let zone = self.upstreams[attempt.instance].zone;
        let host_zone = self.hosts[to.host].zone;
        if self.network.are_connected(host_zone, zone) {
            let latency_us = self.network.latency_us(zone, host_zone);
            self.clock.after(latency_us, Event::AttemptEnded { to, request, attempt_number, end });
        }
    }

    /// Runs queued requests while slots are free; requests past their deadline are dropped.
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

    /// Runs one request. Poison requests crash the instance.
    fn run_execution(&mut self, instance: usize, execution: ExecutionIndex) {
        let now_us = self.clock.now_us();
        let request = self.executions[execution].request;
        let op = self.requests[request].op;
        self.requests[request].execution_count += 1;
        self.callers.ops[op].execution_count += 1;
        self.upstreams[instance].running.push(execution);
        self.executions[execution].state = ExecutionState::Running;
        let path = self.callers.ops[op].path.clone();
        let upstream = &self.upstreams[instance];
        let fault = upstream.active_fault(&path, now_us);
        let model = &upstream.model;
        let fault_factor = fault.map_or(1.0, |it| it.slow_factor);
        let factor = upstream.slow_factor * upstream.cold_factor(now_us) * fault_factor;
        let failure_probability = fault.map_or(0.0, |it| it.fail_percent / 100.0);
        let has_fault = fault.is_some();
        // The sum of 12 uniform random numbers minus 6 approximates a standard normal variable.
        let standard_normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let service_time_ms =
            model.service_time_ms * (model.spread * standard_normal).exp() * factor;
        let failed = self.rng.random::<f64>() < failure_probability;
        self.record_execution(instance, execution, has_fault && (failed || fault_factor > 1.0));
        self.executions[execution].failed = failed;
        if self.callers.ops[op].poison_fault.is_some() {
            let end_us = now_us + 2_000;
            let restart_us = self.callers.ops[op].poison_restart_us;
            self.clock.at(end_us + restart_us, Event::InstanceStartDue { instance });
            self.crash_instance(instance);
            self.observer.record_poison_crash();
            return;
        }
        let end_us = now_us + ((service_time_ms * 1000.0) as u64).max(1);
        let end_us = end_us.min(self.executions[execution].deadline_us);
        self.clock.at(end_us, Event::ExecutionEnded { execution });
    }

    /// Handles the end of an execution. The host gets a response unless the deadline has passed.
    pub(crate) fn handle_execution_end(&mut self, execution: ExecutionIndex) {
        if self.executions[execution].state != ExecutionState::Running {
            return;
        }
        let now_us = self.clock.now_us();
        let instance = self.executions[execution].instance;
        self.remove_execution(execution);
        if now_us < self.executions[execution].deadline_us {
            let failed = self.executions[execution].failed;
            let draining = self.upstreams[instance].draining_since_us.is_some();
            self.send_attempt_end(execution, AttemptEnd::Answered { failed, draining });
        }
        self.run_queued(instance);
    }

    /// Handles the arrival of a cancellation at the instance.
    pub(crate) fn cancel_execution(&mut self, execution: ExecutionIndex) {
        if self.executions[execution].state == ExecutionState::Ended {
            return;
        }
        let instance = self.executions[execution].instance;
        self.remove_execution(execution);
        self.run_queued(instance);
    }

    /// Removes an execution from the slots or queue of its instance.
    fn remove_execution(&mut self, execution: ExecutionIndex) {
        let instance = self.executions[execution].instance;
        self.executions[execution].state = ExecutionState::Ended;
        let upstream = &mut self.upstreams[instance];
        upstream.running.retain(|it| *it != execution);
        upstream.queue.retain(|it| *it != execution);
        self.record_drain_end(instance);
    }

    /// Crashes the process of an instance, which breaks its connections.
    pub(crate) fn crash_instance(&mut self, instance: usize) {
        let upstream = &mut self.upstreams[instance];
        if !upstream.is_up {
            return;
        }
        upstream.is_up = false;
        upstream.generation += 1;
        let mut lost = std::mem::take(&mut upstream.running);
        lost.extend(std::mem::take(&mut upstream.queue));
        for execution in lost {
            self.end_without_response(execution, AttemptEnd::ConnectionLost);
        }
    }

    /// Starts the process of an instance, which is cold at first.
    pub(crate) fn start_instance(&mut self, instance: usize) {
        let now_us = self.clock.now_us();
        let upstream = &mut self.upstreams[instance];
        if !upstream.is_up {
            upstream.is_up = true;
            upstream.started_us = Some(now_us);
        }
    }
}
