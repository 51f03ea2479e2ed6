package org.siskinlead.core.idempotency;

import java.util.Map;

/**
 * Stored value with the records of one shard.
 * @param records records by key with its scope
 */
public record KeySegment(Map<String, KeyRecord> records) {}
