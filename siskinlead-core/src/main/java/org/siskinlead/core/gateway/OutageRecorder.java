package org.siskinlead.core.gateway;

import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Records the outages of the store in the timeline. */
record OutageRecorder(Timeline timeline, Freshness freshness) implements StoreOutages.Listener {
    @Override
    public void onOutage(String reason) {
        timeline.record(EventKind.STORE_LOST, "reason", reason, "proofAgeMs", freshness.ageMillis());
    }

    @Override
    public void onOutageEnded() {
        timeline.record(EventKind.STORE_REGAINED);
    }
}
