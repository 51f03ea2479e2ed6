/**
 * Idempotency keys of calls that may not be repeated. A call is sent only after a compare-and-swap on the platform's
 * key-value service has recorded its key.
 */
@NullMarked
package org.siskinlead.core.idempotency;

import org.jspecify.annotations.NullMarked;
