/** Bodies of requests to the platform's services and of their responses. */
@NullMarked
package org.siskinlead.protocol.platform;

import org.jspecify.annotations.NullMarked;
