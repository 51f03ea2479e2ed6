/** Registry of targets and their health as observed by requests. A target that is leaving gets no new requests. */
@NullMarked
package org.siskinlead.core.registry;

import org.jspecify.annotations.NullMarked;
