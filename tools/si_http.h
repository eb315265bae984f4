/** Small helpers that the stand-ins share. */
#ifndef SI_HTTP_H
#define SI_HTTP_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/** Answer with JSON text. */
void si_respond(SoupServerMessage *msg, guint status, const char *json);
/** The request's body as an object; NULL if it is none. Caller unrefs. */
JsonNode *si_body(SoupServerMessage *msg);
/** Listen on IP:PORT; exits with a line on failure. */
void si_listen(SoupServer *server, const char *address);

#endif
