//! Weighted fair queuing of waiting requests per team.

use std::collections::VecDeque;

use kingcupford_config::TeamId;

/// Queue of waiting requests, served by weighted fair queuing, with a length limit per team.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    limit_per_team: usize,
    /// Largest virtual start time of a request popped so far.
    virtual_time: f64,
    /// One queue per team that ever had a waiting request, sorted by team.
    team_queues: Vec<TeamQueue<T>>,
    /// Number of waiting requests of all teams.
    len: usize,
}

#[derive(Debug, Clone)]
struct TeamQueue<T> {
    team: TeamId,
    /// Virtual finish time of the request pushed last.
    last_finish: f64,
    /// Requests with virtual start and finish times.
    waiting: VecDeque<(f64, f64, T)>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue that holds up to `limit_per_team` requests of each team.
    pub fn new(limit_per_team: usize) -> Self {
        Self { limit_per_team, virtual_time: 0.0, team_queues: Vec::new(), len: 0 }
    }

    /// Appends a request, or returns it as the error when the team's queue is full.
    pub fn push(&mut self, team: TeamId, weight: f64, item: T) -> Result<(), T> {
        let at = match self.team_queues.binary_search_by_key(&team, |it| it.team) {
            Ok(at) => at,
            Err(at) => {
                let queue = TeamQueue { team, last_finish: 0.0, waiting: VecDeque::new() };
                self.team_queues.insert(at, queue);
                at
            }
        };
        let queue = &mut self.team_queues[at];
        if queue.waiting.len() >= self.limit_per_team {
            return Err(item);
        }
        let start = queue.last_finish.max(self.virtual_time);
        queue.last_finish = start + 1.0 / weight.max(f64::EPSILON);
        queue.waiting.push_back((start, queue.last_finish, item));
        self.len += 1;
        Ok(())
    }

    /// Removes and returns the request with the earliest virtual finish time.
    pub fn pop(&mut self) -> Option<(TeamId, T)> {
        let queues = self.team_queues.iter_mut().filter(|it| !it.waiting.is_empty());
        let queue = queues.min_by(|a, b| a.waiting[0].1.total_cmp(&b.waiting[0].1))?;
        let (start, _, item) = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(start);
        self.len -= 1;
        Some((queue.team, item))
    }

    /// Removes requests that `keep` rejects, such as requests past their deadline.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        for queue in &mut self.team_queues {
            queue.waiting.retain(|it| keep(&it.2));
        }
        self.len = self.team_queues.iter().map(|it| it.waiting.len()).sum();
    }

    /// Number of waiting requests of all teams.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no team has a waiting request.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of one team.
    pub fn team_len(&self, team: TeamId) -> usize {
        let at = self.team_queues.binary_search_by_key(&team, |it| it.team);
        at.map_or(0, |at| self.team_queues[at].waiting.len())
    }
}
