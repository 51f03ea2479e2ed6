/** Bodies of requests to model engines and of their responses. */
@NullMarked
package org.siskinlead.protocol.engine;

import org.jspecify.annotations.NullMarked;
