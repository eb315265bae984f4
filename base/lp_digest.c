#include "base/lp_digest.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define SHA256_BYTES 32

uint64_t lp_digest_keyed(const char *key, const struct lp_digest_part *parts,
			 size_t count)
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
	guint8 bytes[SHA256_BYTES];
	gsize size = sizeof(bytes);
	uint64_t digest;

	for (size_t i = 0; i < count; i++) {
		XXH128_hash_t hash =
			XXH3_128bits(parts[i].bytes, parts[i].size);

		g_hmac_update(hmac, (const guchar *)&hash, sizeof(hash));
	}
	g_hmac_get_digest(hmac, bytes, &size);
	g_hmac_unref(hmac);
	memcpy(&digest, bytes, sizeof(digest));
	return digest ? digest : 1;
}

void lp_digest_print(uint64_t digest, char out[LP_DIGEST_SIZE])
{
	g_snprintf(out, LP_DIGEST_SIZE, "%016" G_GINT64_MODIFIER "x",
		   (guint64)digest);
}

bool lp_digest_parse(const char *text, uint64_t *out)
{
	guint64 digest;

	if (!text || strlen(text) != LP_DIGEST_SIZE - 1 ||
	    !g_ascii_string_to_unsigned(text, 16, 1, G_MAXUINT64, &digest,
					NULL))
		return false;
	*out = digest;
	return true;
}
