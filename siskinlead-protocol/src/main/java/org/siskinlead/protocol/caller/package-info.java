/** Bodies of requests from callers and operators and of the responses to them. */
@NullMarked
package org.siskinlead.protocol.caller;

import org.jspecify.annotations.NullMarked;
