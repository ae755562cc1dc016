//! Evacuations of data centres in the control role: which data centres are known, and what follows
//! from a change.

use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::Command;

use super::ControlCore;
use crate::Output;

/// How long after the end of an evacuation the backend servers of the data centre may have to be
/// treated as cold; several times the time that a cold one takes to become warm. Log entries that a
/// replica applies again after its start are mostly older.
const ENDED_FOR: Duration = Duration::from_secs(10);

impl ControlCore {
    /// Refuses an evacuation, or its end, of a data centre that this leader does not know.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotFound`] if the data centre is unknown though the list of backend
    /// servers has been read, and [`ErrorKind::NotFresh`] if the list has not been read yet.
    pub(super) fn check_evacuation(&self, command: &Command, now: Duration) -> Result<(), Refusal> {
        let Command::SetEvacuation { data_centre, .. } = command else {
            return Ok(());
        };
        let configuration = self.state.deployment_configuration();
        let mut services = configuration.services.iter();
        let of_store = services.any(|s| {
            s.store
                .as_ref()
                .is_some_and(|t| t.data_centre == *data_centre)
        });
        let is_known = of_store
            || self.state.had_evacuation(data_centre)
            || self.control_data_centres.contains(data_centre)
            || self.fleet_publisher.count_runners_in(data_centre) > 0;
        if is_known {
            return Ok(());
        }
        // Some data centres may only be known from the list, which a new leader has yet to read.
        let knows_all = self.holds_leader_lease(now) && self.fleet_publisher.has_runner_list();
        if !knows_all {
            let detail = "the list of backend servers with their data centres is not known yet";
            return Err(Refusal::new(ErrorKind::NotFresh, detail));
        }
        let detail = format!("no data centre is named \"{data_centre}\"");
        Err(Refusal::new(ErrorKind::NotFound, detail))
    }

    /// Handles a change of the evacuated data centres by an applied command.
    pub(super) fn on_evacuations_applied(
        &mut self,
        before: &[DataCentre],
        command: &Command,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let Command::SetEvacuation {
            data_centre, at_ms, ..
        } = command
        else {
            return;
        };
        self.report_evacuations(before, out);
        let evacuated = self.state.evacuated();
        // An evacuation that begins again has not ended.
        self.ended_evacuations
            .retain(|(ended, _)| !evacuated.contains(ended));
        let has_ended = before.contains(data_centre) && !evacuated.contains(data_centre);
        let age = Duration::from_millis(self.wall_clock_ms.saturating_sub(*at_ms));
        if has_ended && age < ENDED_FOR {
            let at = now.saturating_sub(age);
            self.ended_evacuations.push((data_centre.clone(), at));
        }
        // Entries learn of the end only after this.
        if self.was_leader {
            self.handle_ended_evacuations(now, out);
        }
    }

    /// Reports the evacuated data centres to the driver if they changed.
    pub(super) fn report_evacuations(&self, before: &[DataCentre], out: &mut Vec<Output>) {
        let evacuated = self.state.evacuated();
        if evacuated != before {
            out.push(Output::Evacuations { evacuated });
        }
    }

    /// Handles, as the leader, the ends of evacuations that this replica has not handled yet; a new
    /// leader also those of a short time before.
    pub(super) fn handle_ended_evacuations(&mut self, now: Duration, out: &mut Vec<Output>) {
        for (data_centre, at) in std::mem::take(&mut self.ended_evacuations) {
            if now < at + ENDED_FOR {
                self.on_evacuation_ended(data_centre, now, out);
            }
        }
    }

    /// The one place where the leader notices that an evacuation ended, before any entry knows it: the
    /// backend servers there had no requests and may be cold.
    fn on_evacuation_ended(
        &mut self,
        data_centre: DataCentre,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.presume_cold(&data_centre, now, out);
        let runners = self.fleet_publisher.count_runners_in(&data_centre);
        out.push(Output::EvacuationEnded {
            data_centre,
            runners,
        });
    }
}
