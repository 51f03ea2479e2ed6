/**
 * Age of the last confirmation by the platform's store. After the machine was suspended or its clock jumped, there is
 * no proof until the store answers again; after the store was restored from an older copy, none until somebody vouches for
 * the configuration in it.
 */
@NullMarked
package org.siskinlead.core.freshness;

import org.jspecify.annotations.NullMarked;
