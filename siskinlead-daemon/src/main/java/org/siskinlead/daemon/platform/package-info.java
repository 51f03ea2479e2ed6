/** HTTP client of the platform's key-value service and VM list. */
@NullMarked
package org.siskinlead.daemon.platform;

import org.jspecify.annotations.NullMarked;
