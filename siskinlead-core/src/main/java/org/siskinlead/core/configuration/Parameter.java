package org.siskinlead.core.configuration;

/** Parameters of a team that its members vote on. */
public enum Parameter {
    /** Maximum number of the team's requests that run at the same time. */
    MAX_CONCURRENT,
    /** Maximum number of the team's requests that start per second. */
    REQUESTS_PER_SECOND,
    /** Priority of the team's requests, 0 (lowest) to 9. */
    PRIORITY
}
