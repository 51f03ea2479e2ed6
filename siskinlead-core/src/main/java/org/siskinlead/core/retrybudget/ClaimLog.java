package org.siskinlead.core.retrybudget;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Counts the claims of this daemon and records them, at most one event per window and service. */
final class ClaimLog {
    private final Timeline timeline;
    private final Timers timers;
    private final long windowMillis;
    private final Map<String, Period> periods = new HashMap<>();
    private RetryBudgetShare.Listener listener = new RetryBudgetShare.Listener() {
        @Override
        public void onChunkClaimed() {}

        @Override
        public void onClaimFailed() {}
    };

    private static final class Period {
        private int claimed;
        private int failed;
        private String lastFailure = "";
    }

    ClaimLog(Timeline timeline, Timers timers, long windowMillis) {
        this.timeline = timeline;
        this.timers = timers;
        this.windowMillis = windowMillis;
    }

    void setListener(RetryBudgetShare.Listener receiver) {
        listener = receiver;
    }

    void onClaimed(String service) {
        listener.onChunkClaimed();
        period(service).claimed++;
    }

    void onFailed(String service, String reason) {
        listener.onClaimFailed();
        Period period = period(service);
        period.failed++;
        period.lastFailure = reason;
    }

    private Period period(String service) {
        Period current = periods.get(service);
        if (current == null) {
            current = new Period();
            periods.put(service, current);
            timers.after(windowMillis, () -> record(service));
        }
        return current;
    }

    private void record(String service) {
        Period ended = periods.remove(service);
        if (ended != null) {
            timeline.record(
                    EventKind.RETRY_CHUNKS_CLAIMED,
                    "service",
                    service,
                    "claimed",
                    ended.claimed,
                    "failed",
                    ended.failed,
                    "lastFailure",
                    ended.lastFailure);
        }
    }
}
