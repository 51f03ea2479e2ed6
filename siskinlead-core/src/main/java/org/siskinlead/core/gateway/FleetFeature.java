package org.siskinlead.core.gateway;

/**
 * Decisions of large fleets, of more than 8 daemons, that a deployment switches on. Each costs processor time or calls to the
 * store, which a deployment with small VMs may lack.
 */
public enum FleetFeature {
    /** Retries that are claimed from a pool in the store where the equal shares of the daemons are small. */
    RETRY_POOL,
    /** Paths drawn from a plan that spreads the load of all daemons. */
    PATH_SHARES,
    /** Few requests at first for targets that start or recover. */
    SLOW_START
}
