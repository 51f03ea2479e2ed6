/**
 * Cluster membership and quorum leases. A daemon is active only while it holds a lease: a majority of the witnesses has
 * confirmed, within the duration of the lease, that it knows no later head record.
 */
@NullMarked
package org.siskinlead.core.membership;

import org.jspecify.annotations.NullMarked;
