/**
 * HTTP/1.1 server and clients on Netty's codec. A connection carries one exchange at a time.
 * Header sections and buffered bodies are limited in size.
 */
@NullMarked
package org.siskinlead.protocol.http;

import org.jspecify.annotations.NullMarked;
