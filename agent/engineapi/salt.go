package engineapi

// HeaderCacheSalt carries a salt for prefix hashes, so that workspaces do not share prefix cache entries.
const HeaderCacheSalt = "X-Cache-Salt"
