package org.siskinlead.core.ratelimit;

/** Token bucket: tokens accrue at a rate, up to a burst; each request takes one. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long updatedAt;

    private TokenBucket(RateShare share, double tokens, long now) {
        this.perSecond = share.perSecond();
        this.burst = share.burst();
        this.tokens = tokens;
        this.updatedAt = now;
    }

    static TokenBucket of(RateShare share, double tokens, long now) {
        return new TokenBucket(share, tokens, now);
    }

    // Queries

    /** Gets the number of tokens, fractions included. */
    double tokens(long now) {
        return Math.min(burst, tokens + perSecond * Math.max(0, now - updatedAt) / MILLIS_PER_SECOND);
    }

    /** Gets the time until a number of tokens has accrued, in milliseconds, as if the burst were not bounded. */
    long millisTo(double wanted, long now) {
        double missing = wanted - tokens(now);
        return missing <= 0 ? 0 : (long) Math.ceil(MILLIS_PER_SECOND * missing / perSecond);
    }

    // Commands

    /** Takes a token, or what is left of one. */
    void take(long now) {
        tokens = Math.max(0, tokens(now) - 1);
        updatedAt = now;
    }
}
