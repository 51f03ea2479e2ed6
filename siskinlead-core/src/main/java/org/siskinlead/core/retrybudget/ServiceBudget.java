package org.siskinlead.core.retrybudget;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;
import org.siskinlead.core.time.Timers;

/** Retries that this daemon may send to one service. */
final class ServiceBudget {
    /** Time for whose retries claims are made ahead: several claims, each of a few round trips to the store. */
    private static final long AHEAD_MS = 500;
    /** Retries above which no more is claimed ahead; each may stay unused. */
    private static final int MAX_AHEAD = 8;

    private final BudgetRules rules;
    private final Timers timers;
    private final PrivatePart privatePart;
    private final HeldChunks held = new HeldChunks();
    private final @Nullable PoolAccess pool;
    private final @Nullable ChunkClaims claims;
    private final Deque<Long> recentRetries = new ArrayDeque<>();

    ServiceBudget(String service, BudgetRules rules, Timers timers, @Nullable PoolAccess pool) {
        this.rules = rules;
        this.timers = timers;
        this.privatePart = new PrivatePart(timers, rules.windowMillis());
        this.pool = pool;
        this.claims = pool == null ? null : new ChunkClaims(service, pool, held);
    }

    // Queries

    int available(Purpose purpose) {
        return held.available(purpose) + privatePart.available(allowed(purpose));
    }

    private double allowed(Purpose purpose) {
        return rules.allowed(privatePart.requests(), purpose);
    }

    // Commands

    void onRequest() {
        privatePart.onRequest();
    }

    boolean tryAcquire(Purpose purpose) {
        // A chunk can be used for a short time only, the private part until it is needed.
        if (!held.tryTake(purpose)) {
            if (privatePart.available(allowed(purpose)) == 0) {
                claim(purpose, 1);
                return false;
            }
            privatePart.onRetry();
        }
        recentRetries.add(timers.nowMillis());
        claimAhead(purpose);
        return true;
    }

    /** Gets the time until a retry is available after a number of others, and claims what is missing. */
    long millisToAcquire(Purpose purpose, int ahead) {
        int missing = ahead + 1 - available(purpose);
        if (missing <= 0) {
            return 0;
        }
        long privateMillis = privatePart.millisTo(ahead + 1, allowed(purpose));
        claim(purpose, missing);
        return claims == null || pool == null
                ? privateMillis
                : Math.min(privateMillis, claims.expectedMillis(chunks(pool, missing)));
    }

    /**
     * Claims about as much as was used lately, so that the next retries need not wait for a claim. A single retry tells of no
     * further ones.
     */
    private void claimAhead(Purpose purpose) {
        while (recentRetries.peek() < timers.nowMillis() - AHEAD_MS) {
            recentRetries.remove();
        }
        claim(purpose, Math.min(MAX_AHEAD, recentRetries.size() - 1) - available(purpose));
    }

    private void claim(Purpose purpose, int retries) {
        if (claims != null && pool != null && retries > 0 && rules.isPooled()) {
            claims.claim(purpose, chunks(pool, retries));
        }
    }

    private static int chunks(PoolAccess pool, int retries) {
        int size = pool.layout().chunkSize();
        return (retries + size - 1) / size;
    }
}
