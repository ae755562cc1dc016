//! Waits for capacity by what the wait costs callers, with the setting `overload_control`.

use super::attempt_loop::CAPACITY_POLL_INTERVAL;
use super::attempt_loop::DUE_OBJECTIVES;
use super::request::ActiveRequest;
use super::request::AttemptLog;
use super::server::EntryServer;
use super::shortage_note::ShortageNote;
use dotterelrudder_gateway::AdmissionVerdict;
use dotterelrudder_gateway::CapacityDemand;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_gateway::RefusalCause;
use dotterelrudder_gateway::RoomRule;
use dotterelrudder_gateway::ShortageQueue;
use dotterelrudder_types::Clock;
use dotterelrudder_types::Refusal;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

/// The longest interval at which a request with others before it checks for capacity.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often a request with others before it checks within its expected wait.
const POLLS_IN_EXPECTED_WAIT: u32 = 8;

/// A request's place in the shortage queue. Dropping it removes the request from the queue and records
/// what became of it.
struct ShortagePlace<'a, D> {
    server: &'a EntryServer<D>,
    queue: &'a Mutex<ShortageQueue>,
    demand: &'a CapacityDemand,
    /// The ticket, once the request has joined the queue.
    ticket: Option<u64>,
    outcome: &'static str,
}

impl<D> ShortagePlace<'_, D> {
    fn queue(&self) -> MutexGuard<'_, ShortageQueue> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Joins the queue, unless the request is in it already.
    fn join(&mut self, now: Duration, capacity: f64) {
        if self.ticket.is_none() {
            let ticket = self.queue().join(now, self.demand, capacity);
            self.ticket = Some(ticket);
        }
    }
}

impl<D> Drop for ShortagePlace<'_, D> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let now = self.server.clock.now();
            self.queue().leave(now, ticket);
        }
        let (metrics, demand) = (&self.server.metrics, self.demand);
        metrics.count_admission(demand.urgency, &demand.account, self.outcome);
    }
}

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Returns the demand of a request for capacity.
    pub(super) fn capacity_demand(
        &self,
        request: &ActiveRequest,
        log: &AttemptLog,
    ) -> CapacityDemand {
        let since = log.waits_since(request);
        let (prompt, deadline) = (request.call.prompt.as_ref(), request.deadline);
        let gateway = self.gateway();
        gateway.capacity_demand(&request.admission, prompt, since, deadline)
    }

    /// Waits until a runner has capacity for the request, for as long as that is of use to its caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no runner can take the request, or none will have capacity in time.
    pub(super) async fn wait_in_shortage(
        &self,
        request: &ActiveRequest,
        query: &PlacementQuery<'_>,
        log: &AttemptLog,
        queue: &Mutex<ShortageQueue>,
    ) -> Result<Placement, Refusal> {
        let began = self.now();
        let mut demand = self.capacity_demand(request, log);
        let returning = queue
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .take_returning(began, &demand.account, &request.call.id);
        if let Some(arrived) = returning {
            demand.arrived = arrived.min(demand.since);
        }
        let mut place = ShortagePlace {
            server: self,
            queue,
            demand: &demand,
            ticket: None,
            outcome: "left",
        };
        let mut may_wait_for_permit = false;
        let due = demand.since + demand.objective.mul_f64(DUE_OBJECTIVES);
        loop {
            if let Some(refusal) = self.refuse_blocked(request) {
                place.outcome = "not_served";
                return Err(refusal);
            }
            let now = self.now();
            let waited = now.saturating_sub(began);
            let room = place.queue().may_try(now, place.ticket, &demand);
            let permit_wait = match room.map(|room| self.place_in(now, query, room)) {
                Some(Ok(placement)) => {
                    place.queue().placed(now, place.ticket, &demand);
                    self.metrics.record_waited(waited.as_secs_f64());
                    let is_delayed = place.ticket.is_some();
                    place.outcome = if is_delayed { "delayed" } else { "at_once" };
                    set_admission(request, place.outcome, waited, None);
                    return Ok(placement);
                }
                Some(Err(NotPlaced::Refused(refusal))) => {
                    place.outcome = "not_served";
                    set_admission(request, place.outcome, waited, refusal.retry_after);
                    return Err(refusal);
                }
                Some(Err(NotPlaced::Limited(wait))) => Some(wait),
                Some(Err(NotPlaced::Busy)) => None,
                None => self.gateway().queue_behind_others(now, query),
            };
            // As without overload control, the wait for a permit is judged once, by the demand of all
            // entries, and against the objective.
            if let Some(wait) = permit_wait.filter(|w| w.is_known && !may_wait_for_permit) {
                if now + wait.time >= due {
                    place.outcome = "no_permit_in_time";
                    let refusal = self.refuse_for_limits(query, wait);
                    set_admission(request, place.outcome, waited, refusal.retry_after);
                    return Err(refusal);
                }
                may_wait_for_permit = true;
            }
            let capacity = self.gateway().capacity_rate(now, query.service);
            let verdict = place.queue().judge(now, place.ticket, &demand, capacity);
            let (expected, ahead) = match verdict {
                AdmissionVerdict::Wait { expected, ahead } => (expected, ahead),
                // What this entry learned says nothing about permits.
                AdmissionVerdict::Refuse {
                    cause: RefusalCause::NoCapacityInTime,
                    expected,
                    ahead,
                } if permit_wait.is_some() => (expected, ahead),
                AdmissionVerdict::Refuse {
                    cause,
                    expected,
                    ahead,
                } => {
                    note_first_look(request, &demand, now, (expected, ahead));
                    place.outcome = cause.as_str();
                    let refusal = match permit_wait {
                        Some(wait) => self.refuse_for_limits(query, wait),
                        None => {
                            let mut gateway = self.gateway();
                            gateway.forget_demand(query.request);
                            gateway.shortage_refusal(query.service, cause, expected, ahead)
                        }
                    };
                    set_admission(request, place.outcome, waited, refusal.retry_after);
                    if let Some(after) = refusal.retry_after {
                        let id = &request.call.id;
                        place.queue().refused(now, id, &demand, after);
                    }
                    return Err(refusal);
                }
            };
            note_first_look(request, &demand, now, (expected, ahead));
            place.join(now, capacity);
            let interval = match ahead {
                0 => CAPACITY_POLL_INTERVAL,
                _ => (expected / POLLS_IN_EXPECTED_WAIT)
                    .clamp(CAPACITY_POLL_INTERVAL, MAX_POLL_INTERVAL),
            };
            tokio::time::sleep(interval).await;
        }
    }

    /// Chooses a runner for the request by a rule about which ones have room.
    fn place_in(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        room: RoomRule,
    ) -> Result<Placement, NotPlaced> {
        self.place(now, &PlacementQuery { room, ..*query })
    }
}

/// Records what was expected when the request first found no capacity.
fn note_first_look(
    request: &ActiveRequest,
    demand: &CapacityDemand,
    now: Duration,
    (expected, ahead): (Duration, usize),
) {
    let mut note = request.shortage.lock().unwrap_or_else(|e| e.into_inner());
    note.get_or_insert_with(|| ShortageNote {
        admission: "waiting",
        priority: demand.urgency,
        account: demand.account.clone(),
        work: demand.work,
        expected,
        ahead,
        waited: Duration::ZERO,
        limit: demand.latest_start.saturating_sub(now),
        retry_after: None,
    });
}

/// Records what became of a request that found no capacity at first.
fn set_admission(
    request: &ActiveRequest,
    admission: &'static str,
    waited: Duration,
    retry_after: Option<Duration>,
) {
    let mut note = request.shortage.lock().unwrap_or_else(|e| e.into_inner());
    if let Some(note) = note.as_mut() {
        note.admission = admission;
        note.waited += waited;
        note.retry_after = retry_after;
    }
}
