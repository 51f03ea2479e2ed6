/**
 * Age of the last confirmation by the platform's store. After the machine was suspended or its clock jumped, there is
 * no proof until the store answers again.
 */
@NullMarked
package org.siskinlead.core.freshness;

import org.jspecify.annotations.NullMarked;
