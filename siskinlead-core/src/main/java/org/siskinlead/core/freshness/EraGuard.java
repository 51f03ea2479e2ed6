package org.siskinlead.core.freshness;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.platform.LeaseStore.Change;
import org.siskinlead.core.platform.LeaseStore.Outcome;
import org.siskinlead.core.time.Timers;

/**
 * Decides whether the configuration in the store may be taken for the newest one. After the store was restored from an
 * older copy it may not: a daemon that has just started knows no other, and one that lives on may have missed the last
 * change. A mark in the store names the era in which a daemon last vouched for the configuration, the version that it
 * had in force, and the store's revision of the configuration; it follows each change. A copy has the mark of an earlier
 * era, and a configuration that was written after that mark was written after the return.
 */
public final class EraGuard {
    /** Key of the mark. */
    public static final String KEY = "siskinlead/era";

    /** Era of a store that does not name one. */
    public static final long NO_ERA = -1;

    /** Longest wait for a version that another daemon has vouched for. */
    static final long MAX_WAIT_MS = 30_000;
    /** Delay of the mark for each daemon that is to write it first. */
    private static final long RANK_DELAY_MS = 200;

    private static final int MAX_RANK = 10;
    private static final long RETRY_DELAY_MS = 500;
    private static final String SEPARATOR = " ";
    private static final long NO_REVISION = -1;

    private final LeaseStore store;
    private final Timers timers;
    private final Settings settings;
    private final LongSupplier versionInForce;
    private final IntSupplier rank;
    private final Runnable renewProof;
    private long era = NO_ERA;
    private boolean isFirstEra;
    private long eraSince;
    private long versionAtStartOfEra;
    private boolean hasSeenReturn;
    private boolean operatorHasWritten;
    private boolean isListedWithoutMark;
    private long configurationRevision = NO_REVISION;
    private long markedEra = NO_ERA;
    private long markedVersion;
    private long markedRevision = NO_REVISION;
    private boolean isMarking;
    private long markAttempt;

    /** How a daemon starts. */
    public enum Start {
        /** With the whole system, for the first time. */
        FIRST,
        LATER
    }

    /**
     * Settings of the deployment.
     * @param rewriteMillis time that the operator gets to write again after the store has answered a daemon that has just
     *     started, in milliseconds
     * @param start how the daemon starts
     */
    public record Settings(long rewriteMillis, Start start) {}

    private EraGuard(
            LeaseStore store,
            Timers timers,
            Settings settings,
            LongSupplier versionInForce,
            IntSupplier rank,
            Runnable renewProof) {
        this.store = store;
        this.timers = timers;
        this.settings = settings;
        this.versionInForce = versionInForce;
        this.rank = rank;
        this.renewProof = renewProof;
    }

    /**
     * Creates a guard for a store that has not named its era.
     * @param store the platform's store
     * @param timers clock and scheduler
     * @param settings settings of the deployment
     * @param versionInForce version of the configuration in force, 0 for none
     * @param rank number of daemons that write the mark before this one
     * @param renewProof asks the store at once for a proof of the configuration
     * @return the guard
     */
    public static EraGuard of(
            LeaseStore store,
            Timers timers,
            Settings settings,
            LongSupplier versionInForce,
            IntSupplier rank,
            Runnable renewProof) {
        return new EraGuard(store, timers, settings, versionInForce, rank, renewProof);
    }

    // Queries

    /**
     * Tells whether the configuration that the store holds may be taken for the newest one.
     * @return false while a newer one may have been in force before the store was restored
     */
    public boolean trustsConfiguration() {
        if (era == NO_ERA) {
            return true;
        }
        long waitedMillis = timers.nowMillis() - eraSince;
        if (markedVersion > versionInForce.getAsLong()) {
            return waitedMillis >= MAX_WAIT_MS;
        }
        return hasSeenReturn
                || markedEra == era
                || operatorHasWritten
                || isWrittenAfterMark()
                || isFirstStart()
                || waitedMillis >= settings.rewriteMillis();
    }

    private boolean isWrittenAfterMark() {
        return markedRevision != NO_REVISION && configurationRevision > markedRevision;
    }

    private boolean isFirstStart() {
        return settings.start() == Start.FIRST && isFirstEra && isListedWithoutMark;
    }

    private boolean needsMark() {
        boolean vouchedFor =
                markedEra == era && markedVersion >= versionAtStartOfEra && markedRevision >= configurationRevision;
        return era != NO_ERA && !vouchedFor && versionInForce.getAsLong() > 0;
    }

    private long rankDelayMillis() {
        return RANK_DELAY_MS * Math.min(MAX_RANK, rank.getAsInt());
    }

    // Commands

    /**
     * Handles the era that the store names in its answers.
     * @param named the era, {@link #NO_ERA} for none
     */
    public void onEra(long named) {
        if (named == era) {
            return;
        }
        hasSeenReturn = era != NO_ERA && trustsConfiguration() && versionInForce.getAsLong() > 0;
        versionAtStartOfEra = hasSeenReturn ? versionInForce.getAsLong() : 0;
        operatorHasWritten = false;
        isListedWithoutMark = false;
        configurationRevision = NO_REVISION;
        markedEra = NO_ERA;
        markedRevision = NO_REVISION;
        isFirstEra = era == NO_ERA;
        era = named;
        eraSince = timers.nowMillis();
        if (!trustsConfiguration()) {
            timers.after(settings.rewriteMillis(), renewProof);
        }
        mark();
    }

    /**
     * Handles a complete listing of the store.
     * @param keys keys of the daemons
     */
    public void onListed(Collection<String> keys) {
        isListedWithoutMark = !keys.contains(KEY);
        mark();
    }

    /**
     * Handles that the configuration was read.
     * @param revision the store's revision of it, in the present era
     */
    public void onConfigurationRead(long revision) {
        operatorHasWritten |= configurationRevision != NO_REVISION && revision > configurationRevision;
        configurationRevision = Math.max(configurationRevision, revision);
        mark();
    }

    /** Handles that the operator has written the configuration in this era. */
    public void onOperatorWrote() {
        operatorHasWritten = true;
        mark();
    }

    /**
     * Handles the mark that the store holds.
     * @param value its value; one that cannot be read counts as none
     */
    public void onMark(byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        isListedWithoutMark = false;
        try {
            long version = fields.length > 1 ? Long.parseLong(fields[1]) : 0;
            markedRevision = fields.length > 2 ? Long.parseLong(fields[2]) : NO_REVISION;
            markedEra = Long.parseLong(fields[0]);
            markedVersion = version;
        } catch (NumberFormatException e) {
            markedEra = NO_ERA;
            markedVersion = 0;
            markedRevision = NO_REVISION;
        }
        mark();
    }

    /** Writes the mark, unless another daemon that has vouched for the same configuration does so before. */
    private void mark() {
        if (!needsMark()) {
            isMarking = false;
            markAttempt++;
        } else if (!isMarking) {
            isMarking = true;
            scheduleWrite(++markAttempt, rankDelayMillis());
        }
    }

    private void scheduleWrite(long attempt, long delayMillis) {
        timers.after(delayMillis, () -> {
            if (attempt == markAttempt) {
                write(attempt);
            }
        });
    }

    private void write(long attempt) {
        if (!needsMark()) {
            isMarking = false;
        } else if (!trustsConfiguration()) {
            scheduleWrite(attempt, RETRY_DELAY_MS + rankDelayMillis());
        } else {
            String value = era + SEPARATOR + versionInForce.getAsLong() + SEPARATOR + configurationRevision;
            store.commit(
                    List.of(),
                    List.of(new Change(KEY, value.getBytes(StandardCharsets.UTF_8), 0)),
                    outcome -> scheduleWrite(attempt, outcome == Outcome.DONE ? 2 * RETRY_DELAY_MS : RETRY_DELAY_MS));
        }
    }
}
