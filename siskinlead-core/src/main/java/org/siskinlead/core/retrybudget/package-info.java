/**
 * Retry budget of all daemons together. Each daemon has a private part; the rest is a pool of chunks in the platform's
 * store, which daemons claim for a short time where the failures are.
 */
@NullMarked
package org.siskinlead.core.retrybudget;

import org.jspecify.annotations.NullMarked;
