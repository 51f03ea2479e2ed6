/**
 * Keeps the limits that targets name on the rate of their requests, which hold for all daemons together. Must never let
 * the daemons send more because they disagree about who is one of them.
 */
@NullMarked
package org.siskinlead.core.ratelimit;

import org.jspecify.annotations.NullMarked;
