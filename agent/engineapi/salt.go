package engineapi

// HeaderCacheSalt separates the prefix cache of one workspace from that of another.
const HeaderCacheSalt = "X-Cache-Salt"
