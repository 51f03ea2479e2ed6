package org.siskinlead.core.freshness;

import java.nio.charset.StandardCharsets;
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
 * change. A mark in the store names the era in which a daemon last vouched for the configuration, and the version that it
 * had in force when the era began. A copy has the mark of an earlier era.
 */
public final class EraGuard {
    /** Key of the mark. */
    public static final String KEY = "siskinlead/era";

    /** Era of a store that does not name one. */
    public static final long NO_ERA = -1;

    /** Time that the operator gets to write again after the store has answered a daemon that has just started. */
    static final long REWRITE_MS = 1_000;
    /** Longest wait for a version that another daemon has vouched for. */
    static final long MAX_WAIT_MS = 30_000;
    /** Delay of the mark for each daemon that is to write it first. */
    private static final long RANK_DELAY_MS = 200;

    private static final int MAX_RANK = 10;
    private static final long RETRY_DELAY_MS = 500;
    private static final String SEPARATOR = " ";

    private final LeaseStore store;
    private final Timers timers;
    private final LongSupplier versionInForce;
    private final IntSupplier rank;
    private final Runnable renewProof;
    private long era = NO_ERA;
    private long eraSince;
    private long versionAtStartOfEra;
    private boolean hasSeenReturn;
    private boolean operatorHasWritten;
    private long markedEra = NO_ERA;
    private long markedVersion;
    private boolean marking;

    private EraGuard(
            LeaseStore store, Timers timers, LongSupplier versionInForce, IntSupplier rank, Runnable renewProof) {
        this.store = store;
        this.timers = timers;
        this.versionInForce = versionInForce;
        this.rank = rank;
        this.renewProof = renewProof;
    }

    /**
     * Creates a guard for a store that has not named its era.
     * @param store the platform's store
     * @param timers clock and scheduler
     * @param versionInForce version of the configuration in force, 0 for none
     * @param rank number of daemons that write the mark before this one
     * @param renewProof asks the store at once for a proof of the configuration
     * @return the guard
     */
    public static EraGuard of(
            LeaseStore store, Timers timers, LongSupplier versionInForce, IntSupplier rank, Runnable renewProof) {
        return new EraGuard(store, timers, versionInForce, rank, renewProof);
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
        if (markedEra == era && markedVersion > versionInForce.getAsLong()) {
            return waitedMillis >= MAX_WAIT_MS;
        }
        return hasSeenReturn || markedEra == era || operatorHasWritten || waitedMillis >= REWRITE_MS;
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
        era = named;
        eraSince = timers.nowMillis();
        if (!trustsConfiguration()) {
            timers.after(REWRITE_MS, renewProof);
        }
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
        try {
            markedEra = Long.parseLong(fields[0]);
            markedVersion = fields.length > 1 ? Long.parseLong(fields[1]) : 0;
        } catch (NumberFormatException e) {
            markedEra = NO_ERA;
        }
        mark();
    }

    /** Writes the mark, unless another daemon that has vouched for the same version does so before. */
    private void mark() {
        if (marking) {
            return;
        }
        marking = true;
        long delay = RANK_DELAY_MS * Math.min(MAX_RANK, rank.getAsInt());
        timers.after(delay, this::writeIfNeeded);
    }

    private void writeIfNeeded() {
        boolean vouchedFor = markedEra == era && markedVersion >= versionAtStartOfEra;
        if (era == NO_ERA || vouchedFor || versionInForce.getAsLong() == 0) {
            marking = false;
            return;
        }
        if (!trustsConfiguration()) {
            timers.after(RETRY_DELAY_MS, this::writeIfNeeded);
            return;
        }
        String value = era + SEPARATOR + versionInForce.getAsLong();
        store.commit(
                List.of(),
                List.of(new Change(KEY, value.getBytes(StandardCharsets.UTF_8), 0)),
                outcome -> timers.after(
                        outcome == Outcome.DONE ? 2 * RETRY_DELAY_MS : RETRY_DELAY_MS, this::writeIfNeeded));
    }
}
