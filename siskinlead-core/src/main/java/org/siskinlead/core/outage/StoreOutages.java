package org.siskinlead.core.outage;

import java.util.ArrayList;
import java.util.List;
import org.siskinlead.core.time.Timers;

/**
 * Decides by the calls that follow the store whether there is an outage, in which entries of running targets and daemons
 * may lapse. A connection that was cut says nothing of the store, which may cut a waiting watch at any time: there is an
 * outage only if the next call fails too. A call that stays without an answer until its timeout shows one by itself.
 */
public final class StoreOutages {
    /** Time after an outage for those that run to renew lapsed entries; the platform specifies 2 s. */
    public static final long LAPSE_GRACE_MS = 2_300;

    private final Timers timers;
    private final List<Listener> listeners = new ArrayList<>();
    private State state = State.AVAILABLE;
    private long endedAt = Long.MIN_VALUE / 2;
    private long disprovedCount;

    private enum State {
        AVAILABLE,
        /** A call was cut off, and the next one has not ended. */
        IN_DOUBT,
        OUTAGE
    }

    /** How a call failed. */
    public enum Failure {
        /** Its connection was closed or reset before the answer. */
        CUT,
        /** It was not taken, was refused, or had no answer in time. */
        UNANSWERED
    }

    /** Receives the start and the end of each outage. */
    public interface Listener {
        /**
         * Handles the start of an outage.
         * @param reason what shows it
         */
        default void onOutage(String reason) {}

        /** Handles the end of an outage. */
        default void onOutageEnded() {}
    }

    private StoreOutages(Timers timers) {
        this.timers = timers;
    }

    /**
     * Creates an instance without an outage.
     * @param timers clock
     * @return the instance
     */
    public static StoreOutages of(Timers timers) {
        return new StoreOutages(timers);
    }

    /**
     * Creates an instance for a daemon that starts, to which the store has not answered yet.
     * @param timers clock
     * @return the instance, in an outage until the first answer
     */
    public static StoreOutages untilFirstAnswer(Timers timers) {
        StoreOutages outages = new StoreOutages(timers);
        outages.state = State.OUTAGE;
        return outages;
    }

    // Queries

    /**
     * Tells whether there is an outage.
     * @return true from the call that shows it to the first answer after it
     */
    public boolean isOutage() {
        return state == State.OUTAGE;
    }

    /**
     * Tells whether an entry that is missing may have lapsed although its owner is running.
     * @return true during an outage and for {@link #LAPSE_GRACE_MS} after it
     */
    public boolean mayHaveLapsed() {
        return isOutage() || timers.nowMillis() - endedAt < LAPSE_GRACE_MS;
    }

    /**
     * Gets the time since the last outage.
     * @return milliseconds since it ended, very many if there was none
     */
    public long millisSinceEnd() {
        return timers.nowMillis() - endedAt;
    }

    /**
     * Counts the calls that were cut off while the store was available.
     * @return calls whose successor was answered
     */
    public long cutWithoutOutageCount() {
        return disprovedCount;
    }

    // Commands

    /**
     * Adds a listener.
     * @param listener called in the order of addition
     */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Handles an answer, after everything that it says was taken in. */
    public void onAnswered() {
        State before = state;
        state = State.AVAILABLE;
        if (before == State.IN_DOUBT) {
            disprovedCount++;
        } else if (before == State.OUTAGE) {
            endedAt = timers.nowMillis();
            listeners.forEach(Listener::onOutageEnded);
        }
    }

    /**
     * Handles a call without an answer.
     * @param failure how it failed
     * @param reason describes the failure for the event log
     */
    public void onFailed(Failure failure, String reason) {
        if (state == State.AVAILABLE && failure == Failure.CUT) {
            state = State.IN_DOUBT;
        } else {
            begin(reason);
        }
    }

    /**
     * Begins an outage unless there is one.
     * @param reason what shows it
     */
    public void begin(String reason) {
        if (!isOutage()) {
            state = State.OUTAGE;
            listeners.forEach(listener -> listener.onOutage(reason));
        }
    }
}
