package org.siskinlead.core.platform;

import java.util.function.Consumer;

/** Client of the platform's key-value service. */
public interface KeyValueStore {
    /**
     * Reads a key; the answer may be stale.
     * @param key key to read
     * @param type class of the value
     * @param onValue receives the value and its version
     * @param onFailure runs when no answer arrives in time
     * @param <T> type of the value
     */
    <T> void read(String key, Class<T> type, Consumer<Versioned<T>> onValue, Runnable onFailure);

    /**
     * Writes a key if its version is still the expected one.
     * @param key key to write
     * @param expectedVersion version that must still be current; 0 for a key that must not exist
     * @param value new value, at most {@link #MAX_VALUE_BYTES} when encoded
     * @param onResult receives the outcome of the write
     */
    void compareAndSet(String key, long expectedVersion, Object value, Consumer<WriteResult> onResult);

    /** Maximum size of an encoded value. */
    int MAX_VALUE_BYTES = 1_000_000;
}
