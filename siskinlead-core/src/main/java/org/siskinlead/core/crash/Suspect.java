package org.siskinlead.core.crash;

import java.util.Set;

/**
 * A request that may have crashed a target: its answer had not begun, or just begun, when the target crashed.
 * @param attempt identifies one send of the request among those of all daemons
 * @param traits what may be the cause: the shared parts of the prompt, and the request as a whole
 */
public record Suspect(String attempt, Set<String> traits) {
    private static final String PART_PREFIX = "part:";
    private static final String REQUEST_PREFIX = "request:";

    /**
     * Copies the traits.
     */
    public Suspect {
        traits = Set.copyOf(traits);
    }

    /**
     * Names a shared part of a prompt as a trait.
     * @param part id of the part
     * @return the trait
     */
    public static String part(String part) {
        return PART_PREFIX + part;
    }

    /**
     * Names a whole request as a trait.
     * @param fingerprint hash that stays the same when the caller repeats the request
     * @return the trait
     */
    public static String request(String fingerprint) {
        return REQUEST_PREFIX + fingerprint;
    }

    static boolean isRequest(String trait) {
        return trait.startsWith(REQUEST_PREFIX);
    }
}
