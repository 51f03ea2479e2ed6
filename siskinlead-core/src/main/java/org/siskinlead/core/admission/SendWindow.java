package org.siskinlead.core.admission;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.siskinlead.core.time.Timers;

/**
 * Limit of this daemon's requests in flight to the engines of a service. There is none until a target refuses a request
 * for lack of capacity. From then on one level, the marginal one, is limited; less urgent levels are not sent at all, and
 * more urgent ones freely, so that all daemons together hold back the least urgent requests first, however few each has.
 * The limit falls with refusals, and with the queues that targets report, and grows while requests wait and there are none.
 * A limit below one is met on average over the time for which a request usually runs.
 */
public final class SendWindow {
    /** Level of requests that continue a begun answer; they are counted, but not limited. */
    public static final int BEGUN = -1;

    /** Part of what was in flight that remains after a cut: more when few of the sends since the last one were refused. */
    private static final double MAX_KEPT = 0.85;

    private static final double MIN_KEPT = 0.5;
    /** Waiting requests for each running one at a target at which the limit stays as it is. */
    private static final double BUSY_SHARE = 0.05;
    /** Largest decrease with an answer, in steps, reached when a fifth as many requests wait as run. */
    private static final double MIN_ROOM = -3;
    /** Change of the limit with each answer, at most; an answer comes once in the time of a request for each in flight. */
    private static final double STEP = 0.2;
    /** Part of the step that a limit near zero changes by, so that a closed level can open again. */
    private static final double MIN_STEP_SHARE = 0.5;
    /** Relative growth with each answer that reports no queue, as after 2% refusals and a cut by 15%. */
    private static final double UNREPORTED_GROWTH = 0.002;
    /** Factor by which growth accelerates at most; it doubles with answers and seconds without a sign of a shortage. */
    private static final double MAX_ACCELERATION = 8;
    /** Limit below which the marginal level counts as closed. */
    private static final double CLOSED = 0.1;
    /** Time without answers and refusals after which requests that wait raise the limit, as nothing tells of a shortage. */
    private static final long SILENCE_MS = 4_000;
    /** Time without a request that waits, and without a report of queues, after which a limit is not needed any more. */
    private static final long UNUSED_MS = 2_000;
    /** Time without a refusal after which the limit is removed, if answers report no queues and nothing waits. */
    private static final long CALM_MS = 5_000;

    private static final int CALM_ANSWERS = 6;
    /** Time after a request that was not allowed for which its level is taken to be short: a few times that callers wait. */
    private static final long WAITING_MS = 5_000;
    /** Age up to which a level is in use. */
    private static final long IN_USE_MS = 60_000;
    /** Time over which use is averaged. */
    private static final double USE_AVERAGE_MS = 2_000;

    private static final double RUN_WEIGHT = 0.1;
    private static final double INITIAL_RUN_MS = 1_000;
    private static final long MIN_CUT_INTERVAL_MS = 100;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Timers timers;
    private final RandomGenerator random;
    private final BooleanSupplier fewSends;
    private final Listener listener;
    private final Map<Integer, Level> levels = new TreeMap<>();
    private double limit = Double.POSITIVE_INFINITY;
    private int marginal;
    private double credit;
    private long creditAt;
    private double runMillis = INITIAL_RUN_MS;
    private long cutAt = NEVER;
    private long refusedAt = NEVER;
    private long busyAt = NEVER;
    private long answeredAt = NEVER;
    private long raisedAt = NEVER;
    private long closedAt = Long.MAX_VALUE / 2;
    private int sentSinceCut;
    private int refusedSinceCut;
    private int calmAnswers;

    /** Receives the changes that operators should see. */
    public interface Listener {
        /**
         * Records that the first limit was set, or the marginal level changed because of refusals.
         * @param level the marginal level
         * @param limit its limit of requests in flight
         */
        void onCut(int level, double limit);

        /** Records that the limit was removed. */
        void onRemoved();
    }

    private SendWindow(Timers timers, RandomGenerator random, BooleanSupplier fewSends, Listener listener) {
        this.timers = timers;
        this.random = random;
        this.fewSends = fewSends;
        this.listener = listener;
    }

    /**
     * Creates a window without a limit.
     * @param timers clock
     * @param random source of the times at which limits below one let requests pass
     * @param fewSends whether this daemon sends so few of all requests that it may see no refusal in a shortage
     * @param listener receives changes
     * @return the window
     */
    public static SendWindow of(Timers timers, RandomGenerator random, BooleanSupplier fewSends, Listener listener) {
        return new SendWindow(timers, random, fewSends, listener);
    }

    /** Use of one level by this daemon. */
    private final class Level {
        private int inFlight;
        private double use;
        private long updatedAt = timers.nowMillis();
        private long seenAt = NEVER;
        private long deniedAt = NEVER;

        void add(int change) {
            update();
            inFlight += change;
        }

        double use() {
            update();
            return use;
        }

        private void update() {
            long now = timers.nowMillis();
            use += (inFlight - use) * -Math.expm1((updatedAt - now) / USE_AVERAGE_MS);
            updatedAt = now;
        }

        boolean waits() {
            return timers.nowMillis() - deniedAt <= WAITING_MS;
        }
    }

    // Queries

    /**
     * Tells whether requests are limited now.
     * @return true from the first refusal for lack of capacity until the limit is removed
     */
    public boolean isLimiting() {
        return limit < Double.POSITIVE_INFINITY;
    }

    /**
     * Gets the requests in flight that the marginal level may have.
     * @return the limit, infinite when there is none
     */
    public double limit() {
        return limit;
    }

    /**
     * Gets the level that is limited; those above are not sent.
     * @return the level, without meaning when there is no limit
     */
    public int marginalLevel() {
        return marginal;
    }

    // Commands

    /**
     * Decides whether a request may be sent now. A request that may not is taken to wait.
     * @param level its level, or {@link #BEGUN}
     * @return false when it has to wait
     */
    public boolean allows(int level) {
        if (level == BEGUN) {
            return true;
        }
        Level asked = level(level);
        asked.seenAt = timers.nowMillis();
        removeIfCalm();
        if (!isLimiting() || level < marginal) {
            return true;
        }
        raiseAfterSilence();
        if (level == marginal && hasRoom(asked)) {
            return true;
        }
        asked.deniedAt = timers.nowMillis();
        return false;
    }

    private boolean hasRoom(Level asked) {
        if (asked.inFlight + 1 <= limit) {
            return true;
        }
        earnCredit();
        return asked.inFlight < limit && credit >= 1;
    }

    /** Earns the part of a request by which the limit exceeds a whole number, once in the time of a request. */
    private void earnCredit() {
        long now = timers.nowMillis();
        double fraction = limit - Math.floor(limit);
        credit = Math.min(1, credit + fraction * (now - creditAt) / runMillis);
        creditAt = now;
    }

    /**
     * Records a send.
     * @param level level of the request, or {@link #BEGUN}
     */
    public void onSent(int level) {
        Level sent = level(level);
        sent.seenAt = timers.nowMillis();
        sentSinceCut++;
        if (isLimiting() && level == marginal && sent.inFlight + 1 > limit) {
            credit = 0;
        }
        sent.add(1);
    }

    /**
     * Records the end of a send.
     * @param level level with which it was sent
     * @param ranMillis time since it was sent
     * @param complete whether the answer was complete, so that the time is that of a request
     */
    public void onEnded(int level, long ranMillis, boolean complete) {
        level(level).add(-1);
        if (complete) {
            runMillis += RUN_WEIGHT * (ranMillis - runMillis);
        }
    }

    /**
     * Records an answer that has begun.
     * @param waiting requests that wait at the target, negative when it does not say
     * @param running requests that run there
     */
    public void onAccepted(double waiting, double running) {
        answeredAt = timers.nowMillis();
        boolean isReported = waiting >= 0;
        double room = isReported ? Math.max(MIN_ROOM, 1 - waiting / Math.max(1, running) / BUSY_SHARE) : 0;
        if (!isLimiting()) {
            if (room <= MIN_ROOM && fewSends.getAsBoolean()) {
                begin(lastInUse(Integer.MAX_VALUE), MAX_KEPT);
            }
            return;
        }
        if (room < 0) {
            busyAt = timers.nowMillis();
            // A limit that is not used says nothing about what the targets can take.
            limit = Math.min(limit, level(marginal).use());
            limit = Math.max(0, limit + room * step());
        } else if (isBinding()) {
            raise(isReported ? room * step() : UNREPORTED_GROWTH * Math.max(1, limit));
        } else {
            openNext();
        }
        calmAnswers = room > 0 || !isReported ? calmAnswers + 1 : 0;
    }

    /**
     * Records that a target refused a request for lack of capacity.
     * @param level level of the request
     * @param answerMillis time in which answers usually begin; the effect of a cut shows no earlier
     */
    public void onRefused(int level, long answerMillis) {
        long now = timers.nowMillis();
        refusedAt = now;
        refusedSinceCut++;
        calmAnswers = 0;
        if (now - cutAt < Math.max(MIN_CUT_INTERVAL_MS, answerMillis)) {
            return;
        }
        double refused = refusedSinceCut / (double) Math.max(1, sentSinceCut);
        double kept = Math.max(MIN_KEPT, Math.min(MAX_KEPT, 1 - refused));
        if (!isLimiting()) {
            begin(lastInUse(Integer.MAX_VALUE), kept);
        } else if (limit > CLOSED || level >= marginal) {
            limit = kept * Math.min(limit, Math.max(CLOSED, level(marginal).use()));
        } else if (marginal > 0 && now - closedAt >= runMillis) {
            begin(lastInUse(marginal - 1), kept);
        }
        closedAt = limit <= CLOSED ? Math.min(closedAt, now) : Long.MAX_VALUE / 2;
        cutAt = now;
        sentSinceCut = 0;
        refusedSinceCut = 0;
    }

    /** Gets the change of the limit with an answer: so many per answer, but a part of a limit below one. */
    private double step() {
        return STEP * Math.max(MIN_STEP_SHARE, Math.min(1, limit));
    }

    private void begin(int level, double kept) {
        marginal = level;
        limit = Math.max(0, kept * useBelow(Integer.MAX_VALUE) - useBelow(level));
        credit = random.nextDouble();
        creditAt = timers.nowMillis();
        listener.onCut(marginal, limit);
    }

    /** Gets the average requests in flight of all levels below one, which are more urgent. */
    private double useBelow(int level) {
        return levels.entrySet().stream()
                .filter(e -> e.getKey() < level)
                .mapToDouble(e -> e.getValue().use())
                .sum();
    }

    /** Gets the least urgent level in use up to one. */
    private int lastInUse(int most) {
        long now = timers.nowMillis();
        return levels.entrySet().stream()
                .filter(e -> e.getKey() >= 0 && e.getKey() <= most && now - e.getValue().seenAt <= IN_USE_MS)
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    /** Raises the limit, the faster the longer there has been no sign of a shortage. */
    private void raise(double by) {
        earnCredit();
        double calmSeconds = (timers.nowMillis() - Math.max(refusedAt, busyAt)) / 1_000.0;
        limit += by * Math.min(MAX_ACCELERATION, Math.pow(2, Math.min(calmAnswers, calmSeconds)));
        raisedAt = timers.nowMillis();
    }

    private void raiseAfterSilence() {
        long now = timers.nowMillis();
        if (now - Math.max(Math.max(refusedAt, answeredAt), raisedAt) > SILENCE_MS) {
            calmAnswers = 0;
            if (isBinding()) {
                raise(STEP);
            } else {
                openNext();
            }
        }
    }

    /** Makes the next less urgent level that waits the marginal one, once nothing more urgent waits. */
    private void openNext() {
        levels.entrySet().stream()
                .filter(e -> e.getKey() > marginal && e.getValue().waits())
                .findFirst()
                .ifPresent(next -> {
                    marginal = next.getKey();
                    limit = 0;
                    raise(STEP);
                });
    }

    private void removeIfCalm() {
        long now = timers.nowMillis();
        if (isLimiting()
                && calmAnswers >= CALM_ANSWERS
                && now - refusedAt >= CALM_MS
                && now - busyAt >= UNUSED_MS
                && levels.values().stream().allMatch(l -> now - l.deniedAt >= UNUSED_MS)) {
            limit = Double.POSITIVE_INFINITY;
            listener.onRemoved();
        }
    }

    /** Tells whether the marginal level has had to wait lately, and has no room for one more request now. */
    private boolean isBinding() {
        Level limited = level(marginal);
        return limited.waits() && limited.inFlight + 1 > limit;
    }

    private Level level(int number) {
        return levels.computeIfAbsent(number, n -> new Level());
    }
}
