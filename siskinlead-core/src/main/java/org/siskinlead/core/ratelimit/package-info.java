/**
 * Keeps the limits that targets name on the rate of their requests, which hold for all daemons together. Must never send
 * a request without a token of this daemon's own share.
 */
@NullMarked
package org.siskinlead.core.ratelimit;

import org.jspecify.annotations.NullMarked;
