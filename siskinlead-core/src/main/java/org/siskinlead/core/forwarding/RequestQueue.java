package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.siskinlead.core.admission.FairShares;
import org.siskinlead.core.admission.LevelRate;
import org.siskinlead.core.time.Timers;

/**
 * Queue of requests that wait for target capacity, by priority, by the turns of teams where these have shares, and then by
 * the time that each has left. A request waits
 * only while an answer can still be of use to its caller, and while the rate of sends lets it expect its turn by then.
 */
final class RequestQueue {
    private static final long TICK_MS = 10;
    /** Failed sends of one priority in one tick after which the others of that priority are skipped until the next one. */
    private static final int MAX_FAILED_SENDS_PER_TICK = 4;

    private final Timers timers;
    private final BooleanSupplier byPriority;
    private final BooleanSupplier fair;
    private final FairShares shares = FairShares.create();
    private final SendRate rate = new SendRate();
    private final Map<Integer, LevelRate> rates = new HashMap<>();
    private boolean ticking;

    /** A queued request. */
    interface Waiter {
        /** Gets the priority, 0 is served first. */
        int priority();

        /** Gets the team whose share the request takes from, empty for none. */
        default String team() {
            return "";
        }

        /** Gets the work of the request, in tokens. */
        default double tokens() {
            return 1;
        }

        /** Gets the last time at which a send is of use to the caller, in milliseconds of the monotonic clock. */
        long latestSendAt();

        /** Tries to send the request; returns false when no target has capacity. */
        boolean trySend();

        /** Tells whether the request waits for something else than capacity of targets, and so delays no other one. */
        default boolean isHeldBack() {
            return false;
        }

        /** Runs when the request has been removed because it cannot be sent in time. */
        void onExpired();
    }

    /** A waiter with its place, which is fixed until the queue is sorted again. */
    private record Entry(Waiter waiter, int priority, double startTag, long latestSendAt) {
        /** The comparators of the JDK's factory methods cannot be archived and are generated at each start. */
        private static final Comparator<Entry> BY_TIME = (a, b) -> a.priority() == b.priority()
                ? Long.compare(a.latestSendAt(), b.latestSendAt())
                : Integer.compare(a.priority(), b.priority());

        private static final Comparator<Entry> ORDER =
                (a, b) -> a.priority() == b.priority() && a.startTag() != b.startTag()
                        ? Double.compare(a.startTag(), b.startTag())
                        : BY_TIME.compare(a, b);

        static Entry of(Waiter waiter) {
            return new Entry(waiter, waiter.priority(), 0, waiter.latestSendAt());
        }

        Entry withStartTag(double tag) {
            return new Entry(waiter, priority, tag, latestSendAt);
        }
    }

    private List<Entry> queue = new ArrayList<>();

    RequestQueue(Timers timers) {
        this(timers, () -> false, () -> false);
    }

    /**
     * Creates a queue.
     * @param byPriority whether each priority counts by its own rate of sends now
     * @param fair whether teams of the same priority are served in turn now
     */
    RequestQueue(Timers timers, BooleanSupplier byPriority, BooleanSupplier fair) {
        this.timers = timers;
        this.byPriority = byPriority;
        this.fair = fair;
    }

    // Queries

    int length() {
        return queue.size();
    }

    /** Counts the queued requests that are served before a request. */
    int lengthAhead(Waiter waiter) {
        return (int) ahead(waiter).filter(e -> !e.waiter().isHeldBack()).count();
    }

    /** Counts the queued requests that are held back and come before a request. */
    int heldBackAhead(Waiter waiter) {
        return (int) ahead(waiter).filter(e -> e.waiter().isHeldBack()).count();
    }

    private Stream<Entry> ahead(Waiter waiter) {
        Entry entry = place(waiter);
        return queue.stream().filter(e -> Entry.ORDER.compare(e, entry) <= 0);
    }

    /** Tells whether a request that joins the queue now can expect to be sent while that is of use to its caller. */
    boolean expectsSendInTime(Waiter waiter) {
        return timers.nowMillis() + millisUntil(waiter.priority(), lengthAhead(waiter), aheadWithin(waiter))
                <= waiter.latestSendAt();
    }

    /** Estimates the time until a number of requests have been sent, in milliseconds, from the rate of sends. */
    long expectedMillis(int sends) {
        return Math.round(rate.millisFor(sends, !queue.isEmpty(), timers.nowMillis()));
    }

    /** Estimates the time until a request would be sent that joins the queue now, in milliseconds. */
    long expectedMillisUntilSent(Waiter waiter) {
        return byPriority.getAsBoolean()
                ? millisUntil(waiter.priority(), lengthAhead(waiter) + 1, aheadWithin(waiter) + 1)
                : expectedMillis(length() + 1);
    }

    private int aheadWithin(Waiter waiter) {
        return (int) ahead(waiter)
                .filter(e -> e.priority() == waiter.priority() && !e.waiter().isHeldBack())
                .count();
    }

    /**
     * Estimates the time until the requests ahead have been sent. While levels are sent at rates of their own, those of the
     * same priority count by its rate, since more urgent requests pass without waiting and leave less for the others.
     */
    private long millisUntil(int priority, int ahead, int aheadWithin) {
        if (!byPriority.getAsBoolean()) {
            return expectedMillis(ahead);
        }
        return expectedMillis(ahead - aheadWithin)
                + Math.round(rateOf(priority).millisFor(aheadWithin, timers.nowMillis()));
    }

    private LevelRate rateOf(int priority) {
        return rates.computeIfAbsent(priority, p -> LevelRate.create());
    }

    // Commands

    void add(Waiter waiter) {
        Entry added = Entry.of(waiter);
        if (queue.isEmpty()) {
            rate.onWaiting(timers.nowMillis());
        }
        if (queue.stream().noneMatch(e -> e.priority() == added.priority())) {
            rateOf(added.priority()).onWaiting(timers.nowMillis());
        }
        queue.add(added);
        sort();
        if (!ticking) {
            ticking = true;
            timers.after(TICK_MS, this::tick);
        }
    }

    void remove(Waiter waiter) {
        queue.removeIf(e -> e.waiter() == waiter);
    }

    /** Records that a request was sent, whether or not it was queued before. */
    void onSent(Waiter waiter) {
        rate.onSent(timers.nowMillis());
        rateOf(waiter.priority()).onSent(timers.nowMillis());
        if (fair.getAsBoolean()) {
            shares.onSent(waiter.priority(), waiter.team(), waiter.tokens());
        }
    }

    /** Sorts by priority, then by the turns of teams where these have shares, then by the time left. */
    private void sort() {
        List<Entry> byTime = queue.stream()
                .map(e -> Entry.of(e.waiter()))
                .sorted(Entry.BY_TIME)
                .toList();
        queue = new ArrayList<>(byTime);
        if (fair.getAsBoolean()) {
            Map<Share, Double> nextTags = new HashMap<>();
            queue.replaceAll(entry -> {
                Share share = Share.of(entry.waiter());
                double tag = nextTags.computeIfAbsent(share, s -> shares.startTag(s.priority(), s.team()));
                nextTags.put(share, tag + entry.waiter().tokens());
                return entry.withStartTag(tag);
            });
            queue.sort(Entry.ORDER);
        }
    }

    /** Places a request among those that wait: behind those of its own team that have less time left. */
    private Entry place(Waiter waiter) {
        Entry entry = Entry.of(waiter);
        if (!fair.getAsBoolean()) {
            return entry;
        }
        Share share = Share.of(waiter);
        double ownAhead = queue.stream()
                .filter(e -> Share.of(e.waiter()).equals(share) && Entry.BY_TIME.compare(e, entry) <= 0)
                .mapToDouble(e -> e.waiter().tokens())
                .sum();
        return entry.withStartTag(shares.startTag(share.priority(), share.team()) + ownAhead);
    }

    private record Share(int priority, String team) {
        static Share of(Waiter waiter) {
            return new Share(waiter.priority(), waiter.team());
        }
    }

    private void tick() {
        try {
            // The time that a request needs to be answered changes with what is observed of the targets.
            sort();
            expire();
            serve();
        } finally {
            ticking = !queue.isEmpty();
            if (ticking) {
                timers.after(TICK_MS, this::tick);
            }
        }
    }

    private void expire() {
        int ahead = 0;
        int aheadWithin = 0;
        int priority = Integer.MIN_VALUE;
        for (Entry entry : List.copyOf(queue)) {
            aheadWithin = entry.priority() == priority ? aheadWithin : 0;
            priority = entry.priority();
            if (timers.nowMillis() + millisUntil(priority, ahead, aheadWithin) <= entry.latestSendAt()) {
                ahead += entry.waiter().isHeldBack() ? 0 : 1;
                aheadWithin += entry.waiter().isHeldBack() ? 0 : 1;
            } else if (queue.remove(entry)) {
                entry.waiter().onExpired();
            }
        }
    }

    private void serve() {
        int failed = 0;
        int priority = Integer.MIN_VALUE;
        for (Entry entry : List.copyOf(queue)) {
            failed = entry.priority() == priority ? failed : 0;
            priority = entry.priority();
            boolean heldBack = entry.waiter().isHeldBack();
            if ((failed >= MAX_FAILED_SENDS_PER_TICK && !heldBack) || !queue.contains(entry)) {
                continue;
            }
            if (trySend(entry)) {
                queue.remove(entry);
            } else if (!heldBack) {
                failed++;
            }
        }
    }

    /** Tries to send a request; one that throws is removed, so that it does not block the others. */
    private boolean trySend(Entry entry) {
        try {
            return entry.waiter().trySend();
        } catch (RuntimeException e) {
            queue.remove(entry);
            throw e;
        }
    }
}
